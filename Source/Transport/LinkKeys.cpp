#include "Transport/LinkKeys.h"

#include "Core/Error.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

constexpr std::size_t minSecretLength = 32;

LinkKey parseKey(std::string_view text)
{
    std::size_t colon = text.find(':');
    if (colon == std::string_view::npos || colon == 0)
        throw Error(ResultCode::SettingsInvalid, "a link key has no id; the format is id:secret, with commas between keys");
    LinkKey key { std::string(text.substr(0, colon)), std::string(text.substr(colon + 1)) };
    if (key.secret.size() < minSecretLength)
        throw Error(ResultCode::SettingsInvalid, "the secret of link key \"" + key.id + "\" has fewer than " + std::to_string(minSecretLength) + " characters");
    return key;
}

}

LinkKeys LinkKeys::parse(std::string_view text)
{
    LinkKeys keys;
    while (!text.empty()) {
        std::size_t comma = std::min(text.find(','), text.size());
        LinkKey key = parseKey(text.substr(0, comma));
        if (keys.find(key.id) != nullptr)
            throw Error(ResultCode::SettingsInvalid, "link key \"" + key.id + "\" is specified more than once");
        keys.keys_.push_back(key);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return keys;
}

const LinkKey* LinkKeys::find(std::string_view id) const
{
    for (const LinkKey& key : keys_) {
        if (key.id == id)
            return &key;
    }
    return nullptr;
}

}

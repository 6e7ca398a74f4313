#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

struct LinkKey {
    std::string id;
    std::string secret;
};

// The keys by which the processes of the system prove to each other that they belong to it.
// The first one is used for own proofs and all are accepted, so that keys can be replaced
// one process at a time: add the new key last everywhere, then first everywhere, then drop the old one.
class LinkKeys {
public:
    // Without keys, links are not authenticated.
    LinkKeys() = default;

    // Parses "id:secret,id:secret". A secret has at least 32 characters.
    // Throws Error(SettingsInvalid); the message never holds a secret.
    static LinkKeys parse(std::string_view text);

    bool isEmpty() const { return keys_.empty(); }
    const LinkKey& first() const { return keys_.front(); }

    // Returns null for an unknown id.
    const LinkKey* find(std::string_view id) const;

private:
    std::vector<LinkKey> keys_;
};

}

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

struct LinkKey {
    std::string id;
    std::string secret;
};

// The shared keys with which the processes of the system authenticate each other. A process creates its proofs with
// the first key and accepts proofs with any key. Keys can therefore be replaced one process at a time: append the new
// key in all processes, then move it to the front in all processes, then remove the old key.
class LinkKeys {
public:
    // Creates an empty set of keys, with which links are not authenticated.
    LinkKeys() = default;

    // Parses "id:secret,id:secret". A secret must have at least 32 characters.
    // Throws Error(SettingsInvalid) for invalid input. The error message never contains a secret.
    static LinkKeys parse(std::string_view text);

    bool isEmpty() const { return keys_.empty(); }
    const LinkKey& first() const { return keys_.front(); }

    // Returns null if there is no key with this id.
    const LinkKey* find(std::string_view id) const;

private:
    std::vector<LinkKey> keys_;
};

}

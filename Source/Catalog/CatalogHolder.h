#pragma once

#include "Catalog/Catalog.h"
#include "Core/Clock.h"

#include <functional>
#include <string>

namespace Damaskgrade {

// A catalog and the text from which it was decoded. The text is sent to peers.
struct CatalogVersion {
    CatalogPointer catalog;
    std::string text;
};

// Holds the newest catalog that this process has received. It never switches to a lower version.
class CatalogHolder {
public:
    using Observer = std::function<void(const Catalog&)>;

    explicit CatalogHolder(Observer onChange);

    // Switches to the version if it is newer than the current one. Returns whether it is now in force.
    bool applyIfNewer(CatalogVersion version);

    // Returns null before the first catalog.
    CatalogPointer current() const { return current_.catalog; }
    std::uint64_t version() const { return current_.catalog ? current_.catalog->version() : 0; }
    const std::string& text() const { return current_.text; }

private:
    Observer onChange_;
    CatalogVersion current_;
};

}

#include "Catalog/CatalogHolder.h"

#include <utility>

namespace Damaskgrade {

CatalogHolder::CatalogHolder(Observer onChange)
    : onChange_(std::move(onChange))
{
}

bool CatalogHolder::applyIfNewer(CatalogVersion version)
{
    if (!version.catalog || (current_.catalog && version.catalog->version() <= current_.catalog->version()))
        return false;
    current_ = std::move(version);
    onChange_(*current_.catalog);
    return true;
}

}

#pragma once

#include "Catalog/Catalog.h"

#include <cstdint>
#include <string>

namespace Damaskgrade {

// The properties of one request that follow from the catalog and from its headers.
struct RequestOptions {
    // Owns the object that route points to.
    CatalogPointer catalog;
    const Route* route { nullptr };
    // The service that was selected by the weights of the route.
    std::string service;
    // Empty if the request has no key.
    std::string customer;
    // Lower values are sent first.
    std::int32_t priority { 0 };
};

}

#pragma once

#include "Core/ResultCode.h"

#include <functional>
#include <string>
#include <vector>

namespace Damaskgrade {

// The platform's object store. Each callback receives Ok, ObjectNotFound or ObjectStoreUnavailable.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    virtual void put(const std::string& key, const std::string& value, std::function<void(ResultCode)> done) = 0;
    virtual void get(const std::string& key, std::function<void(ResultCode, const std::string&)> done) = 0;

    // Lists the keys that start with the prefix, in ascending order.
    virtual void list(const std::string& prefix, std::function<void(ResultCode, const std::vector<std::string>&)> done) = 0;
};

}

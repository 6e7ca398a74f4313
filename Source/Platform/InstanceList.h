#pragma once

#include "Core/Endpoint.h"
#include "Core/ResultCode.h"

#include <functional>
#include <string>
#include <vector>

namespace Damaskgrade {

enum class InstanceRole {
    Entry,
    BackendServer,
};

enum class InstanceState {
    Live,
    Draining,
};

struct InstanceRecord {
    std::string name;
    InstanceRole role { InstanceRole::Entry };
    InstanceState state { InstanceState::Live };
    std::string availabilityZone;
    // The model or service of a backend server; may be empty.
    std::string serves;
    // Where the project's process on this instance accepts links.
    Endpoint link;
    // Where an entry instance accepts callers; port 0 for others.
    Endpoint callers;
};

// The platform's list of live and draining instances. It lags behind the truth.
class InstanceList {
public:
    virtual ~InstanceList() = default;

    // Gets Ok with the list, or InstanceListUnavailable.
    virtual void fetch(std::function<void(ResultCode, const std::vector<InstanceRecord>&)> done) = 0;
};

// The JSON form of the list. Decoding throws Error(MalformedRequest).
std::string encodeInstances(const std::vector<InstanceRecord>& instances);
std::vector<InstanceRecord> decodeInstances(std::string_view text);

}

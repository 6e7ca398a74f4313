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

// One instance as described by the platform's instance list.
struct InstanceRecord {
    std::string name;
    InstanceRole role { InstanceRole::Entry };
    InstanceState state { InstanceState::Live };
    std::string availabilityZone;
    // The name of the model or service that a backend server runs. May be empty.
    std::string serves;
    // The address on which this project's process on the instance accepts links.
    Endpoint link;
    // The address on which an entry accepts caller connections. The port is 0 for other roles.
    Endpoint callers;
};

// The platform's list of live and draining instances. The list can be out of date.
class InstanceList {
public:
    virtual ~InstanceList() = default;

    // Calls done with Ok and the list, or with InstanceListUnavailable and an empty list.
    virtual void fetch(std::function<void(ResultCode, const std::vector<InstanceRecord>&)> done) = 0;
};

// Converts the list to and from JSON. decodeInstances throws Error(MalformedRequest) for invalid input.
std::string encodeInstances(const std::vector<InstanceRecord>& instances);
std::vector<InstanceRecord> decodeInstances(std::string_view text);

}

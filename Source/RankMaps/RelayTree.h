#pragma once

#include "Core/Endpoint.h"

#include <gsl/span>

#include <cstddef>
#include <vector>

namespace Damaskgrade {

// A receiver of a message, and the receivers to which it passes the message on.
struct RelayBranch {
    Endpoint head;
    std::vector<Endpoint> rest;
};

// To how many receivers an agent passes a message on. A larger number makes the tree flatter, but each of its levels takes
// longer to transmit.
constexpr std::size_t relayFanOut = 3;

// Splits the receivers into contiguous branches of about the same size, so that receivers that are next to each other in
// the list, such as those of one availability zone, stay in one branch.
std::vector<RelayBranch> splitIntoBranches(gsl::span<const Endpoint> receivers, std::size_t maxBranches = relayFanOut);

// Returns the number of hops from a sender that passes a message on in this way to the last of its receivers.
std::size_t relayLevels(std::size_t receivers);

}

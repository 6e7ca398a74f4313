#pragma once

#include "MapSwitch/MapMessages.h"

#include <chrono>
#include <vector>

namespace Damaskgrade {

// Requests the load of an agent's experts and ranks. Only the holder of the group's lease sends it,
// so that a report with the counts of 256 experts goes to one entry every few seconds.
struct ExpertLoadRequestMessage {
    static constexpr const char* type = "expertLoadQuestion";
    std::string group;
    // The step-time skew of the group: the time of the slowest rank over the mean of all ranks.
    // The agent includes it in the load reports that it sends to all entries.
    double skew { 1 };
};

// The response to ExpertLoadRequestMessage: the load of one engine. The load may have changed since the
// agent read it from the engine.
struct ExpertLoadMessage {
    static constexpr const char* type = "expertLoad";
    std::string group;
    std::string agent;
    // Tokens that each expert has processed since the engine started.
    std::vector<std::uint64_t> expertTokens;
    // Compute time of each rank per token of an expert, without the wait for other ranks.
    std::vector<std::chrono::microseconds> rankTokenTimes;
};

// Each decode function throws Error(BadFrame) if the body is not a valid message of its type.
Frame encodeMessage(const ExpertLoadRequestMessage& message, HybridTime time);
Frame encodeMessage(const ExpertLoadMessage& message, HybridTime time);

ExpertLoadRequestMessage decodeExpertLoadRequest(ByteView body);
ExpertLoadMessage decodeExpertLoad(ByteView body);

}

#pragma once

#include "MapSwitch/MapMessages.h"

#include <chrono>
#include <vector>

namespace Damaskgrade {

// Asks an agent for the load of its experts and ranks. Sent by the holder of the group's lease only,
// so that reports of 256 experts go to one entry every few seconds.
struct ExpertLoadRequestMessage {
    static constexpr const char* type = "expertLoadQuestion";
    std::string group;
    // The step-time skew of the group, which the agent passes on to all entries with its load reports.
    double skew { 1 };
};

// The load of one engine. It lags behind the truth.
struct ExpertLoadMessage {
    static constexpr const char* type = "expertLoad";
    std::string group;
    std::string agent;
    // Tokens of each expert since the start of the engine.
    std::vector<std::uint64_t> expertTokens;
    // Time of each rank for one token of an expert, without the wait for other ranks.
    std::vector<std::chrono::microseconds> rankTokenTimes;
};

// Each decode function throws Error(BadFrame) if the body does not fit the type.
Frame encodeMessage(const ExpertLoadRequestMessage& message, HybridTime time);
Frame encodeMessage(const ExpertLoadMessage& message, HybridTime time);

ExpertLoadRequestMessage decodeExpertLoadRequest(ByteView body);
ExpertLoadMessage decodeExpertLoad(ByteView body);

}

#pragma once

#include "Core/Endpoint.h"
#include "RankMaps/RankReport.h"
#include "Transport/Frame.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Damaskgrade {

// The controller of a group asks the agent of a rank for its state.
struct RankStatusRequest {
    static constexpr const char* type = "rankQuestion";
    // A service may have several groups, each with a controller of its own.
    std::string group;
    std::uint64_t term { 0 };
    std::string controller;
    bool includeCounts { false };
    bool includeLists { false };
};

// The answer of an agent to a question or an order.
struct RankStatus {
    static constexpr const char* type = "rankStatus";
    // The highest term that the agent has seen.
    std::uint64_t term { 0 };
    std::string agent;
    // Absent if the engine did not answer.
    std::optional<RankReport> report;
    // Where the engine takes orders from afar.
    Endpoint engine;
    // Chosen experts since the last answer to this controller, over all sets; each is a multiple of countUnit.
    std::vector<std::uint16_t> counts;
    double countUnit { 1 };
    std::optional<RankLists> lists;
};

// The controller has the agent give its engine an order. A map is sent whole, or as its differences to the one
// that the agent loaded last.
struct RankOrderMessage {
    static constexpr const char* type = "rankOrder";
    std::string group;
    std::uint64_t term { 0 };
    std::string controller;
    RankOrder order;
    std::optional<RankMapVersion> baseVersion;
    std::vector<MapDifference> differences;
};

// The answer to an order that the engine did not accept; the effect of the others shows in the next status.
struct RankOrderResultMessage {
    static constexpr const char* type = "rankOrderResult";
    std::uint64_t term { 0 };
    std::string agent;
    RankOrderKind kind { RankOrderKind::Prepare };
    RankMapVersion version { 0 };
    std::uint64_t pass { 0 };
    RankOrderResult result { RankOrderResult::Unknown };
};

// Each decode function throws Error(BadFrame) if the body does not fit the type.
Frame encodeMessage(const RankStatusRequest& message, HybridTime time);
Frame encodeMessage(const RankStatus& message, HybridTime time);
// The map of the order is left out if the message has a base version.
Frame encodeMessage(const RankOrderMessage& message, HybridTime time);
Frame encodeMessage(const RankOrderResultMessage& message, HybridTime time);
RankStatusRequest decodeRankStatusRequest(ByteView body);
RankStatus decodeRankStatus(ByteView body);
RankOrderMessage decodeRankOrder(ByteView body);
RankOrderResultMessage decodeRankOrderResult(ByteView body);

// Packs counts into multiples of a unit, so that each takes two bytes.
void packCounts(const std::vector<double>& counts, RankStatus& status);

}

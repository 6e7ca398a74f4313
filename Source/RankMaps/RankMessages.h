#pragma once

#include "Core/Endpoint.h"
#include "RankMaps/RankReport.h"
#include "Transport/Frame.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Damaskgrade {

// Status request of the controller of a group to the agent of a rank.
struct RankStatusRequest {
    static constexpr const char* type = "rankQuestion";
    // A service may have several groups, each with its controller.
    std::string group;
    std::uint64_t term { 0 };
    std::string controller;
    bool includeCounts { false };
    bool includeLists { false };
};

// Response of an agent to a status request or an order.
struct RankStatus {
    static constexpr const char* type = "rankStatus";
    // The highest term that the agent has seen.
    std::uint64_t term { 0 };
    std::string agent;
    // Absent if the engine did not respond.
    std::optional<RankReport> report;
    // Address on which the engine accepts orders over the network.
    Endpoint engine;
    // How often each expert was selected since the last report of counts, for all sets, in multiples of countUnit.
    std::vector<std::uint16_t> counts;
    double countUnit { 1 };
    std::optional<RankLists> lists;
};

// An order of the controller that the agent passes on to its engine. A map is sent complete, or as differences to the
// map that the agent received last.
struct RankOrderMessage {
    static constexpr const char* type = "rankOrder";
    std::string group;
    std::uint64_t term { 0 };
    std::string controller;
    RankOrder order;
    std::optional<RankMapVersion> baseVersion;
    std::vector<MapDifference> differences;
};

// Response to an order that the engine did not accept or that the agent did not pass on to it. The effect of an accepted
// order shows in the next status.
struct RankOrderResultMessage {
    static constexpr const char* type = "rankOrderResult";
    std::uint64_t term { 0 };
    std::string agent;
    RankOrderKind kind { RankOrderKind::Prepare };
    RankMapVersion version { 0 };
    std::uint64_t pass { 0 };
    RankOrderResult result { RankOrderResult::Unknown };
};

// The decode functions throw Error(BadFrame) if the body is not valid for the type.
Frame encodeMessage(const RankStatusRequest& message, HybridTime time);
Frame encodeMessage(const RankStatus& message, HybridTime time);
// The map of the order is left out if the message has a base version.
Frame encodeMessage(const RankOrderMessage& message, HybridTime time);
Frame encodeMessage(const RankOrderResultMessage& message, HybridTime time);
RankStatusRequest decodeRankStatusRequest(ByteView body);
RankStatus decodeRankStatus(ByteView body);
RankOrderMessage decodeRankOrder(ByteView body);
RankOrderResultMessage decodeRankOrderResult(ByteView body);

// Stores the counts in the status as multiples of a unit, so that each takes two bytes.
void packCounts(const std::vector<double>& counts, RankStatus& status);

}

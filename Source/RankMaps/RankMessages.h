#pragma once

#include "Core/Endpoint.h"
#include "RankMaps/CountCollection.h"
#include "RankMaps/RankReport.h"
#include "Transport/Frame.h"

#include <chrono>
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
    std::optional<RankLists> lists;
};

// An order of the controller that the agent passes on to its engine.
struct RankOrderMessage {
    static constexpr const char* type = "rankOrder";
    std::string group;
    std::uint64_t term { 0 };
    std::string controller;
    // Its map is absent here.
    RankOrder order;
    // Only for orders to load a map: the complete map, or the differences to the map with the base version, encoded.
    std::optional<RankMapVersion> baseVersion;
    Bytes encodedMap;
    // Agents to which the receiver passes the message on.
    std::vector<Endpoint> receivers;
};

// Request of the controller for the counts of an agent and of the agents to which it passes the request on.
struct RankCountsRequest {
    static constexpr const char* type = "rankCountsRequest";
    std::string group;
    std::uint64_t term { 0 };
    std::string controller;
    std::uint64_t round { 0 };
    // After this time the agent responds with the counts that it has by then.
    std::chrono::milliseconds wait { 0 };
    std::vector<Endpoint> receivers;
};

// How often each expert was selected at some ranks since their last responses, for all sets. A count is
// the square of a byte, multiplied by the unit, so that small counts are as accurate as large ones.
struct RankCounts {
    static constexpr const char* type = "rankCounts";
    std::uint64_t round { 0 };
    std::uint32_t ranks { 0 };
    double unit { 1 };
    Bytes roots;
};

// Question of an agent to the controller whose messages it misses.
struct ControllerQuestion {
    static constexpr const char* type = "controllerQuestion";
    std::string group;
};

// Response of an agent that controls the group.
struct ControllerAnswer {
    static constexpr const char* type = "controllerAnswer";
    std::string group;
    std::uint64_t term { 0 };
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
Frame encodeMessage(const RankOrderMessage& message, HybridTime time);
Frame encodeMessage(const RankOrderResultMessage& message, HybridTime time);
Frame encodeMessage(const RankCountsRequest& message, HybridTime time);
Frame encodeMessage(const RankCounts& message, HybridTime time);
Frame encodeMessage(const ControllerQuestion& message, HybridTime time);
Frame encodeMessage(const ControllerAnswer& message, HybridTime time);
RankStatusRequest decodeRankStatusRequest(ByteView body);
RankStatus decodeRankStatus(ByteView body);
RankOrderMessage decodeRankOrder(ByteView body);
RankOrderResultMessage decodeRankOrderResult(ByteView body);
RankCountsRequest decodeRankCountsRequest(ByteView body);
RankCounts decodeRankCounts(ByteView body);
ControllerQuestion decodeControllerQuestion(ByteView body);
ControllerAnswer decodeControllerAnswer(ByteView body);

Bytes encodeMap(const GroupMap& map);
Bytes encodeDifferences(const std::vector<MapDifference>& differences);
// Throw Error(BadFrame) if the bytes are not valid.
GroupMap decodeMap(ByteView bytes);
std::vector<MapDifference> decodeDifferences(ByteView bytes);

RankCounts packCounts(std::uint64_t round, const CountSum& sum);
CountSum unpackCounts(const RankCounts& message);

}

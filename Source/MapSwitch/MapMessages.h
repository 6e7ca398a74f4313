#pragma once

#include "Core/ResultCode.h"
#include "Transport/Frame.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Damaskgrade {

// The number of an expert map. Conditional writes on the group's row make it unique and rising.
// noMap means that an engine holds no map, because it was restarted.
using MapVersion = std::uint64_t;
constexpr MapVersion noMap = 0;

// Orders all changes of a group. The fencing token rises with each lease, the sequence with each change.
struct Epoch {
    std::uint64_t token { 0 };
    std::uint64_t sequence { 0 };
};

bool operator==(const Epoch& left, const Epoch& right);
bool operator!=(const Epoch& left, const Epoch& right);
bool operator<(const Epoch& left, const Epoch& right);

// What an engine tells of itself.
struct MapEngineState {
    // The last step that the engine has executed.
    std::uint64_t step { 0 };
    MapVersion mapVersion { noMap };
    // The last map whose weights are loaded.
    MapVersion preparedVersion { noMap };
    // The epoch that the engine has armed and of which it doesn't know the outcome, and its target map.
    std::optional<Epoch> armed;
    MapVersion armedVersion { noMap };
    // The highest epoch that was released or refused.
    Epoch settled;
    // The engine waits before a step for the outcome of the armed epoch.
    bool isBlocked { false };
};

enum class MapOrderKind {
    // Asks for the state only.
    Query,
    // Loads the weights of the map in the payload.
    Prepare,
    // Promises to block before the step. Without a version: blocks at once, for the recovery of a group.
    Arm,
    // Gives the outcome: the map version to use from now on.
    Release,
    // Refuses the epoch for good unless the engine has armed it.
    Refuse,
};

struct MapOrderMessage {
    static constexpr const char* type = "order";
    std::string group;
    std::string controller;
    Epoch epoch;
    MapOrderKind kind { MapOrderKind::Query };
    std::uint64_t step { 0 };
    MapVersion version { noMap };
    std::string payload;
};

struct MapOrderResultMessage {
    static constexpr const char* type = "orderResult";
    std::string group;
    std::string agent;
    Epoch epoch;
    MapOrderKind kind { MapOrderKind::Query };
    // FencingTokenStale, FencingTokenUnknown or MapRefused if the order wasn't carried out.
    ResultCode code { ResultCode::Ok };
    MapEngineState state;
};

struct VoteRequestMessage {
    static constexpr const char* type = "voteQuestion";
    std::string group;
    std::string agent;
    Epoch epoch;
    MapVersion version { noMap };
};

enum class Vote {
    // The agent can't tell: its engine was restarted, or a recovery has replaced the epoch.
    None,
    Armed,
    Refused,
    // The engine already uses the map of the epoch.
    Switched,
};

struct VoteResponseMessage {
    static constexpr const char* type = "voteAnswer";
    std::string group;
    std::string agent;
    Epoch epoch;
    Vote vote { Vote::None };
};

// Each decode function throws Error(BadFrame) if the body does not fit the type.
Frame encodeMessage(const MapOrderMessage& message, HybridTime time);
Frame encodeMessage(const MapOrderResultMessage& message, HybridTime time);
Frame encodeMessage(const VoteRequestMessage& message, HybridTime time);
Frame encodeMessage(const VoteResponseMessage& message, HybridTime time);

MapOrderMessage decodeMapOrder(ByteView body);
MapOrderResultMessage decodeMapOrderResult(ByteView body);
VoteRequestMessage decodeVoteRequest(ByteView body);
VoteResponseMessage decodeVoteResponse(ByteView body);

}

#pragma once

#include "Core/ResultCode.h"
#include "Transport/Frame.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Damaskgrade {

// The version number of an expert map. Conditional writes to the group's row make versions unique and
// increasing. noMap as the version of an engine means that the engine has no map since its restart.
using MapVersion = std::uint64_t;
constexpr MapVersion noMap = 0;

// Defines the order of all changes and recoveries of a group. The fencing token increases with each
// lease, the sequence with each change or recovery under that lease.
struct Epoch {
    std::uint64_t token { 0 };
    std::uint64_t sequence { 0 };
};

bool operator==(const Epoch& left, const Epoch& right);
bool operator!=(const Epoch& left, const Epoch& right);
bool operator<(const Epoch& left, const Epoch& right);

// The state that an engine reports.
struct MapEngineState {
    // The last step that the engine has executed.
    std::uint64_t step { 0 };
    // The map in use, or the map of a released switch whose step has not been reached yet.
    MapVersion mapVersion { noMap };
    // The map whose weights were loaded last.
    MapVersion preparedVersion { noMap };
    // The epoch that the engine has armed and whose outcome it has not received, and its target map.
    std::optional<Epoch> armed;
    MapVersion armedVersion { noMap };
    // The highest epoch that was released or refused.
    Epoch settled;
    // Whether the engine waits before a step for the outcome of the armed epoch.
    bool isBlocked { false };
};

enum class MapOrderKind {
    // Requests the state only.
    Query,
    // Loads the weights of the map in the payload.
    Prepare,
    // Makes the engine block before the step. Without a version, the engine blocks at once; used for the
    // recovery of a group.
    Arm,
    // Sets the outcome of the armed epoch: the map version to use.
    Release,
    // Makes the engine refuse the epoch permanently, unless it has armed it.
    Refuse,
};

// An order of a controller to the agent of one engine.
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

// The response to an order, with the state of the engine after it.
struct MapOrderResultMessage {
    static constexpr const char* type = "orderResult";
    std::string group;
    std::string agent;
    Epoch epoch;
    MapOrderKind kind { MapOrderKind::Query };
    // FencingTokenStale, FencingTokenUnknown or MapRefused if the order was not carried out; ConnectionFailed if that is
    // not known.
    ResultCode code { ResultCode::Ok };
    MapEngineState state;
};

// Requests the vote of another agent on an epoch. The version is the target map of the epoch.
struct VoteRequestMessage {
    static constexpr const char* type = "voteQuestion";
    std::string group;
    // The agent that requests the vote.
    std::string agent;
    Epoch epoch;
    MapVersion version { noMap };
};

// The state of an agent's engine with regard to an epoch.
enum class Vote {
    // Unknown, because the engine was restarted or a recovery has replaced the epoch.
    None,
    Armed,
    Refused,
    // The engine has switched to the map of the epoch.
    Switched,
};

// The response to VoteRequestMessage.
struct VoteResponseMessage {
    static constexpr const char* type = "voteAnswer";
    std::string group;
    std::string agent;
    Epoch epoch;
    Vote vote { Vote::None };
};

// Each decode function throws Error(BadFrame) if the body is not a valid message of its type.
Frame encodeMessage(const MapOrderMessage& message, HybridTime time);
Frame encodeMessage(const MapOrderResultMessage& message, HybridTime time);
Frame encodeMessage(const VoteRequestMessage& message, HybridTime time);
Frame encodeMessage(const VoteResponseMessage& message, HybridTime time);

MapOrderMessage decodeMapOrder(ByteView body);
MapOrderResultMessage decodeMapOrderResult(ByteView body);
VoteRequestMessage decodeVoteRequest(ByteView body);
VoteResponseMessage decodeVoteResponse(ByteView body);

}

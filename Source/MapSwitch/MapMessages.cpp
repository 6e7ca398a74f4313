#include "MapSwitch/MapMessages.h"

#include "Transport/CborBody.h"

#include <tuple>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

Json epochToJson(const Epoch& epoch)
{
    return { epoch.token, epoch.sequence };
}

Epoch epochFromJson(const Json& json)
{
    return { json.at(0).get<std::uint64_t>(), json.at(1).get<std::uint64_t>() };
}

Json stateToJson(const MapEngineState& state)
{
    Json json = { { "step", state.step }, { "map", state.mapVersion }, { "prepared", state.preparedVersion },
        { "armedMap", state.armedVersion }, { "settled", epochToJson(state.settled) }, { "blocked", state.isBlocked } };
    if (state.armed)
        json["armed"] = epochToJson(*state.armed);
    return json;
}

MapEngineState stateFromJson(const Json& json)
{
    MapEngineState state;
    state.step = json.at("step").get<std::uint64_t>();
    state.mapVersion = json.at("map").get<MapVersion>();
    state.preparedVersion = json.at("prepared").get<MapVersion>();
    state.armedVersion = json.at("armedMap").get<MapVersion>();
    state.settled = epochFromJson(json.at("settled"));
    state.isBlocked = json.at("blocked").get<bool>();
    if (json.contains("armed"))
        state.armed = epochFromJson(json.at("armed"));
    return state;
}

}

bool operator==(const Epoch& left, const Epoch& right)
{
    return std::tie(left.token, left.sequence) == std::tie(right.token, right.sequence);
}

bool operator!=(const Epoch& left, const Epoch& right)
{
    return !(left == right);
}

bool operator<(const Epoch& left, const Epoch& right)
{
    return std::tie(left.token, left.sequence) < std::tie(right.token, right.sequence);
}

Frame encodeMessage(const MapOrderMessage& message, HybridTime time)
{
    return makeFrame(MapOrderMessage::type, time,
        { { "group", message.group }, { "controller", message.controller }, { "epoch", epochToJson(message.epoch) },
            { "kind", static_cast<int>(message.kind) }, { "step", message.step }, { "version", message.version }, { "payload", message.payload } });
}

MapOrderMessage decodeMapOrder(ByteView body)
{
    return decodeBody(MapOrderMessage::type, body, [](const Json& json) {
        MapOrderMessage message;
        message.group = json.at("group").get<std::string>();
        message.controller = json.at("controller").get<std::string>();
        message.epoch = epochFromJson(json.at("epoch"));
        message.kind = enumerationFromJson(json.at("kind"), MapOrderKind::Refuse);
        message.step = json.at("step").get<std::uint64_t>();
        message.version = json.at("version").get<MapVersion>();
        message.payload = json.at("payload").get<std::string>();
        return message;
    });
}

Frame encodeMessage(const MapOrderResultMessage& message, HybridTime time)
{
    return makeFrame(MapOrderResultMessage::type, time,
        { { "group", message.group }, { "agent", message.agent }, { "epoch", epochToJson(message.epoch) },
            { "kind", static_cast<int>(message.kind) }, { "code", resultNumber(message.code) }, { "state", stateToJson(message.state) } });
}

MapOrderResultMessage decodeMapOrderResult(ByteView body)
{
    return decodeBody(MapOrderResultMessage::type, body, [](const Json& json) {
        MapOrderResultMessage message;
        message.group = json.at("group").get<std::string>();
        message.agent = json.at("agent").get<std::string>();
        message.epoch = epochFromJson(json.at("epoch"));
        message.kind = enumerationFromJson(json.at("kind"), MapOrderKind::Refuse);
        message.code = static_cast<ResultCode>(json.at("code").get<std::uint16_t>());
        message.state = stateFromJson(json.at("state"));
        return message;
    });
}

Frame encodeMessage(const VoteRequestMessage& message, HybridTime time)
{
    return makeFrame(VoteRequestMessage::type, time,
        { { "group", message.group }, { "agent", message.agent }, { "epoch", epochToJson(message.epoch) }, { "version", message.version } });
}

VoteRequestMessage decodeVoteRequest(ByteView body)
{
    return decodeBody(VoteRequestMessage::type, body, [](const Json& json) {
        VoteRequestMessage message;
        message.group = json.at("group").get<std::string>();
        message.agent = json.at("agent").get<std::string>();
        message.epoch = epochFromJson(json.at("epoch"));
        message.version = json.at("version").get<MapVersion>();
        return message;
    });
}

Frame encodeMessage(const VoteResponseMessage& message, HybridTime time)
{
    return makeFrame(VoteResponseMessage::type, time,
        { { "group", message.group }, { "agent", message.agent }, { "epoch", epochToJson(message.epoch) }, { "vote", static_cast<int>(message.vote) } });
}

VoteResponseMessage decodeVoteResponse(ByteView body)
{
    return decodeBody(VoteResponseMessage::type, body, [](const Json& json) {
        VoteResponseMessage message;
        message.group = json.at("group").get<std::string>();
        message.agent = json.at("agent").get<std::string>();
        message.epoch = epochFromJson(json.at("epoch"));
        message.vote = enumerationFromJson(json.at("vote"), Vote::Switched);
        return message;
    });
}

}

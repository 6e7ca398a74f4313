#include "Agent/HttpMapEngine.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

Json makeOrder(const char* kind, const Epoch& epoch)
{
    return { { "kind", kind }, { "fencing_token", epoch.token }, { "epoch", { epoch.token, epoch.sequence } } };
}

Json makeOrder(const char* kind, const Epoch& epoch, MapVersion version)
{
    Json order = makeOrder(kind, epoch);
    order["map_version"] = version;
    return order;
}

// The engine includes the highest fencing token in its response if it refuses a stale one.
ResultCode codeOf(int status, const std::string& body)
{
    if (status == 200)
        return ResultCode::Ok;
    if (status != 409)
        return ResultCode::ConnectionFailed;
    Json json = Json::parse(body, nullptr, false);
    bool isStale = json.is_object() && json.contains("highest_token");
    return isStale ? ResultCode::FencingTokenStale : ResultCode::MapRefused;
}

void post(EngineClient& engine, const Json& order, std::function<void(ResultCode)> done)
{
    engine.postOrder(order.dump(), [done = std::move(done)](int status, const std::string& body) { done(codeOf(status, body)); });
}

Epoch epochFromJson(const Json& json)
{
    return { json.at(0).get<std::uint64_t>(), json.at(1).get<std::uint64_t>() };
}

// Throws Json::exception if a field is missing. A default value could be mistaken for a vote.
MapEngineState stateFromJson(const Json& json)
{
    MapEngineState state;
    state.step = json.at("step").get<std::uint64_t>();
    state.mapVersion = json.at("map_version").get<MapVersion>();
    state.preparedVersion = json.at("prepared_version").get<MapVersion>();
    state.armedVersion = json.at("armed_version").get<MapVersion>();
    state.settled = epochFromJson(json.at("settled_epoch"));
    state.isBlocked = json.at("blocked").get<bool>();
    if (!json.at("armed_epoch").is_null())
        state.armed = epochFromJson(json.at("armed_epoch"));
    return state;
}

std::optional<MapEngineState> readState(int status, const std::string& body)
{
    if (status != 200)
        return std::nullopt;
    try {
        return stateFromJson(Json::parse(body));
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}

HttpMapEngine::HttpMapEngine(EngineClient& engine)
    : engine_(engine)
{
}

void HttpMapEngine::prepare(const Epoch& epoch, MapVersion version, const std::string& map, std::function<void(ResultCode)> done)
{
    Json order = makeOrder("prepare", epoch, version);
    order["map"] = map;
    post(engine_, order, std::move(done));
}

void HttpMapEngine::arm(const Epoch& epoch, std::uint64_t step, MapVersion version, std::function<void(ResultCode)> done)
{
    Json order = makeOrder("arm", epoch, version);
    order["step"] = step;
    post(engine_, order, std::move(done));
}

void HttpMapEngine::release(const Epoch& epoch, MapVersion version, std::function<void(ResultCode)> done)
{
    post(engine_, makeOrder("release", epoch, version), std::move(done));
}

void HttpMapEngine::refuse(const Epoch& epoch, std::function<void(ResultCode)> done)
{
    post(engine_, makeOrder("refuse", epoch), std::move(done));
}

void HttpMapEngine::state(std::function<void(ResultCode, const MapEngineState&)> done)
{
    engine_.fetchOrderState([done = std::move(done)](int status, const std::string& body) {
        std::optional<MapEngineState> state = readState(status, body);
        done(state ? ResultCode::Ok : ResultCode::ConnectionFailed, state.value_or(MapEngineState()));
    });
}

}

#include "Agent/EngineClient.h"

#include "Core/Error.h"
#include "Transport/EventStreamParser.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

// Upper limit for one call at the engine. Deadlines end calls much earlier.
constexpr std::chrono::minutes maxCallTime { 30 };
constexpr std::chrono::milliseconds controlTimeout { 1000 };
// All calls that an engine runs at the same time have to fit into the memory of an agent.
constexpr std::size_t maxResponseBytes = 4U << 20U;

std::optional<ExpertLoadMessage> readExpertLoad(const std::string& body)
{
    try {
        Json json = Json::parse(body);
        ExpertLoadMessage load;
        load.expertTokens = json.at("counts").get<std::vector<std::uint64_t>>();
        for (const Json& tokenTime : json.at("rank_token_us"))
            load.rankTokenTimes.emplace_back(tokenTime.get<std::int64_t>());
        return load;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

// Adds the request id, the priority and the text to resume after to the caller's request.
std::string completionBody(const std::string& key, const CallMessage& call)
{
    Json body = Json::parse(call.payload);
    body["request_id"] = key;
    body["priority"] = call.priority;
    body["resume_text"] = call.resumeText;
    return body.dump();
}

}

// A call at the engine. The parser reads the streamed events. Destroying the object ends the HTTP call.
struct EngineClient::RunningCall {
    EngineCallHandlers handlers;
    std::unique_ptr<EventStreamParser> parser;
    std::unique_ptr<HttpCall> call;
    int status { 0 };
    std::string body;
    bool isEnded { false };

    void readStream(std::string_view part)
    {
        try {
            parser->feed(part);
        } catch (const Error& error) {
            if (isEnded)
                return;
            isEnded = true;
            handlers.onFailure({ true, error.what() });
        }
    }

    void readEvent(const ServerSentEvent& event)
    {
        Json json = Json::parse(event.data, nullptr, false);
        if (!json.is_object() || isEnded)
            return;
        if (json.contains("text"))
            handlers.onText(json.value("offset", std::uint64_t(0)), json.value("text", std::string()));
        if (json.contains("total")) {
            isEnded = true;
            handlers.onEnd(json.value("total", std::uint64_t(0)));
        }
    }
};

EngineClient::EngineClient(EventLoop& loop, const AgentSettings& settings)
    : loop_(loop)
    , engine_(settings.engine)
    , callClient_(loop, maxCallTime, maxResponseBytes)
    , controlClient_(loop, controlTimeout, maxResponseBytes)
{
}

EngineClient::~EngineClient() = default;

void EngineClient::start(const std::string& key, const CallMessage& call, EngineCallHandlers handlers)
{
    if (call.kind == CallKind::Completion)
        startCompletion(key, call, std::move(handlers));
    else
        startService(key, call, std::move(handlers));
}

void EngineClient::startCompletion(const std::string& key, const CallMessage& call, EngineCallHandlers handlers)
{
    auto running = std::make_shared<RunningCall>();
    running->handlers = std::move(handlers);
    RunningCall* raw = running.get();
    running->parser = std::make_unique<EventStreamParser>([raw](const ServerSentEvent& event) { raw->readEvent(event); });
    HttpResponseHandlers responseHandlers;
    responseHandlers.onHead = [running](const HttpResponse& head) { running->status = head.status; };
    responseHandlers.onBody = [running](std::string_view part) {
        if (running->status == 200)
            running->readStream(part);
        else
            running->body += part;
    };
    responseHandlers.onEnd = [this, running, key] {
        finish(key);
        if (running->isEnded)
            return;
        bool mayHaveStarted = running->status == 200;
        running->handlers.onFailure({ mayHaveStarted, "engine responded with status " + std::to_string(running->status) + " " + running->body });
    };
    responseHandlers.onFailure = [this, running, key](const HttpFailure& failure) {
        finish(key);
        if (!running->isEnded)
            running->handlers.onFailure({ failure.wasSent, "connection to the engine failed" });
    };
    std::string body;
    try {
        body = completionBody(key, call);
    } catch (const Json::exception& failure) {
        running->handlers.onFailure({ false, std::string("request is not a JSON object: ") + failure.what() });
        return;
    }
    running_[key] = running;
    running->call = callClient_.stream(engine_, makeJsonPost("/v1/completions", body), std::move(responseHandlers));
}

void EngineClient::startService(const std::string& key, const CallMessage& call, EngineCallHandlers handlers)
{
    auto running = std::make_shared<RunningCall>();
    running->handlers = std::move(handlers);
    HttpResponseHandlers responseHandlers;
    responseHandlers.onHead = [running](const HttpResponse& head) { running->status = head.status; };
    responseHandlers.onBody = [running](std::string_view part) { running->body += part; };
    responseHandlers.onEnd = [this, running, key] {
        finish(key);
        if (running->status != 200) {
            running->handlers.onFailure({ true, "engine responded with status " + std::to_string(running->status) });
            return;
        }
        running->handlers.onText(0, running->body);
        running->handlers.onEnd(running->body.size());
    };
    responseHandlers.onFailure = [this, running, key](const HttpFailure& failure) {
        finish(key);
        running->handlers.onFailure({ failure.wasSent, "connection to the engine failed" });
    };
    HttpRequest request = makeJsonPost("/v1/operations/" + percentEncode(call.operation), call.payload);
    if (!call.idempotencyKey.empty())
        request.headers.push_back({ "Idempotency-Key", call.idempotencyKey });
    running_[key] = running;
    running->call = callClient_.stream(engine_, request, std::move(responseHandlers));
}

void EngineClient::cancel(const std::string& key)
{
    auto found = running_.find(key);
    if (found == running_.end())
        return;
    found->second->isEnded = true;
    finish(key);
    controlClient_.send(
        engine_, makeJsonPost("/v1/cancel", Json { { "request_id", key } }.dump()),
        [](const HttpResponse&) {}, [](const HttpFailure&) {});
}

// Destroys the call only after the current handler has returned, since the handler may belong to the call.
void EngineClient::finish(const std::string& key)
{
    auto found = running_.find(key);
    if (found == running_.end())
        return;
    std::shared_ptr<RunningCall> finished = found->second;
    running_.erase(found);
    loop_.post([finished] { finished->call = nullptr; });
}

void EngineClient::fetchLoad(std::function<void(std::optional<LoadReport>)> done)
{
    HttpRequest request;
    request.target = "/v1/load";
    controlClient_.send(
        engine_, request,
        [done](const HttpResponse& response) {
            Json json = Json::parse(response.body, nullptr, false);
            if (response.status != 200 || !json.is_object()) {
                done(std::nullopt);
                return;
            }
            LoadReport load;
            load.running = json.value("running", 0U);
            load.queued = json.value("queued", 0U);
            load.capacity = json.value("capacity", 0U);
            load.stepTime = std::chrono::microseconds(json.value("step_us", 0));
            load.age = std::chrono::milliseconds(json.value("age_ms", 0));
            done(load);
        },
        [done](const HttpFailure&) { done(std::nullopt); });
}

void EngineClient::fetchCacheEvents(std::uint64_t after, std::function<void(const std::vector<CacheEvent>&)> done)
{
    HttpRequest request;
    request.target = "/v1/cache-events?after=" + std::to_string(after);
    controlClient_.send(
        engine_, request,
        [done](const HttpResponse& response) {
            std::vector<CacheEvent> events;
            Json json = Json::parse(response.body, nullptr, false);
            if (response.status != 200 || !json.is_object())
                return;
            for (const Json& entry : json.value("events", Json::array())) {
                CacheEvent event;
                event.sequence = entry.value("seq", std::uint64_t(0));
                event.kind = entry.value("kind", "") == "stored" ? CacheEventKind::Stored : CacheEventKind::Evicted;
                event.prefixHash = entry.value("prefix", std::uint64_t(0));
                events.push_back(event);
            }
            done(events);
        },
        [](const HttpFailure&) {});
}

void EngineClient::fetchExpertLoad(std::function<void(const std::optional<ExpertLoadMessage>&)> done)
{
    HttpRequest request;
    request.target = "/v1/expert-counts";
    controlClient_.send(
        engine_, request,
        [done](const HttpResponse& response) { done(response.status == 200 ? readExpertLoad(response.body) : std::nullopt); },
        [done](const HttpFailure&) { done(std::nullopt); });
}

void EngineClient::postOrder(const std::string& body, std::function<void(int, const std::string&)> done)
{
    controlClient_.send(
        engine_, makeJsonPost("/v1/orders", body),
        [done](const HttpResponse& response) { done(response.status, response.body); },
        [done](const HttpFailure&) { done(0, ""); });
}

void EngineClient::fetchOrderState(std::function<void(int, const std::string&)> done)
{
    HttpRequest request;
    request.target = "/v1/orders/state";
    controlClient_.send(
        engine_, request,
        [done](const HttpResponse& response) { done(response.status, response.body); },
        [done](const HttpFailure&) { done(0, ""); });
}

}

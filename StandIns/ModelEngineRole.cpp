#include "StandIns/ModelEngineRole.h"

#include "StandIns/JsonHttp.h"

#include <cmath>
#include <xxhash.h>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

constexpr std::chrono::milliseconds retryDelay { 5 };
// Timeout of the requests to the barrier and the weight store. After a timeout at the barrier the engine arrives again.
constexpr std::chrono::minutes clientTimeout { 10 };
constexpr std::size_t maxStepRecords = 10000;
// Each running stream makes a step longer by this fraction of the time with an empty batch.
constexpr double stepTimePerStream = 0.005;
constexpr std::size_t bytesPerPromptToken = 4;
// Exponent of the distribution of tokens over experts. Higher values concentrate the tokens of a topic on fewer experts.
constexpr double expertSkew = 4;

bool isEngineWrite(const HttpRequest& request)
{
    return request.method == "POST" && pathOf(request.target) != "/v1/barrier";
}

std::string serverSentEvent(const Json& data)
{
    return "data: " + data.dump() + "\n\n";
}

void finishStream(HttpExchange& exchange, std::uint64_t total, const std::string& reason)
{
    exchange.write(serverSentEvent({ { "total", total }, { "finish", reason } }));
    exchange.endStream();
}

}

ModelEngineRole::ModelEngineRole(EventLoop& loop, const Clock& clock, const ModelEngineOptions& options)
    : loop_(loop)
    , clock_(clock)
    , options_(options)
    , client_(loop, clientTimeout)
    , delayed_(loop)
    , cache_(options.cache)
    , batch_(std::make_shared<ContinuousBatch>(
          options.capacity, [this](const std::string& prompt) { return prefillTime(prompt); },
          [this](const std::string& prompt, std::uint64_t index) { countExperts(prompt, index); }))
    , orders_(options.orders)
    , barrier_(std::make_shared<StepBarrier>(options.groupEngines))
    , expertCounts_(options.experts)
    , loadTimer_(loop.every(options.loadLag, [this] { takeLoadSnapshot(); }))
    , faults_(
          loop, [this](const Exchange& exchange) { handle(exchange); }, isEngineWrite)
    , server_(loop, options.listen, HttpServerLimits(), [this](const Exchange& exchange) { faults_.handle(exchange); })
{
    takeLoadSnapshot();
    startStepping();
}

void ModelEngineRole::handle(const Exchange& exchange)
{
    const HttpRequest& request = exchange->request();
    std::string_view path = pathOf(request.target);
    if (std::optional<std::string> requestId = pathAfter(request, "/v1/kv/"))
        handleKeyValueCache(*exchange, *requestId);
    else if (request.method == "GET")
        handleQuery(exchange);
    else if (path == "/v1/completions")
        startCompletion(exchange);
    else if (path == "/v1/cancel")
        cancelCompletion(*exchange);
    else if (path == "/v1/orders")
        handleOrder(exchange);
    else if (path == "/v1/barrier")
        handleArrival(exchange);
    else
        respondError(*exchange, 404, "unknown path");
}

void ModelEngineRole::handleQuery(const Exchange& exchange)
{
    std::string_view path = pathOf(exchange->request().target);
    if (path == "/v1/cache-events")
        reportCacheEvents(*exchange);
    else if (path == "/v1/load")
        reportLoad(*exchange);
    else if (path == "/v1/steps")
        reportSteps(*exchange);
    else if (path == "/v1/orders/state")
        respondJson(*exchange, 200, orders_.state());
    else if (path == "/v1/expert-counts")
        reportExperts(*exchange);
    else
        respondError(*exchange, 404, "unknown path");
}

void ModelEngineRole::startCompletion(const Exchange& exchange)
{
    Json json = parseJsonObject(exchange->request().body);
    GenerationRequest request;
    request.requestId = json.value("request_id", "");
    request.prompt = json.at("prompt").get<std::string>();
    request.maxTokens = json.at("max_tokens").get<std::uint64_t>();
    request.priority = json.value("priority", std::int64_t { 0 });
    request.resumeText = json.value("resume_text", "");
    GenerationSink sink;
    sink.onToken = [exchange](std::uint64_t offset, const std::string& text) {
        exchange->write(serverSentEvent({ { "offset", offset }, { "text", text } }));
    };
    sink.onFinish = [exchange](std::uint64_t total) { finishStream(*exchange, total, "stop"); };
    sink.onCancel = [exchange](std::uint64_t total) { finishStream(*exchange, total, "cancelled"); };
    std::uint64_t stream = batch_->add(request, std::move(sink));
    exchange->setCloseHandler([weak = std::weak_ptr<ContinuousBatch>(batch_), stream] {
        if (std::shared_ptr<ContinuousBatch> batch = weak.lock())
            batch->remove(stream);
    });
    exchange->beginStream({ 200, { { "Content-Type", "text/event-stream" } }, "" });
    startStepping();
}

void ModelEngineRole::cancelCompletion(HttpExchange& exchange)
{
    Json json = parseJsonObject(exchange.request().body);
    std::size_t cancelled = batch_->cancel(json.at("request_id").get<std::string>());
    respondJson(exchange, 200, { { "cancelled", cancelled } });
}

void ModelEngineRole::reportCacheEvents(HttpExchange& exchange)
{
    std::uint64_t after = numberParameter(exchange.request(), "after", 0);
    Json events = Json::array();
    for (const PrefixCacheEvent& event : cache_.eventsAfter(clock_.now(), after))
        events.push_back({ { "seq", event.sequence }, { "kind", event.isStored ? "stored" : "evicted" }, { "prefix", event.prefix } });
    respondJson(exchange, 200, { { "events", events } });
}

void ModelEngineRole::reportLoad(HttpExchange& exchange)
{
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - load_.time);
    auto stepTime = std::chrono::duration_cast<std::chrono::microseconds>(load_.stepTime);
    respondJson(exchange, 200,
        {
            { "running", load_.running },
            { "queued", load_.queued },
            { "capacity", options_.capacity },
            { "step_us", stepTime.count() },
            { "age_ms", age.count() },
        });
}

void ModelEngineRole::reportSteps(HttpExchange& exchange)
{
    Json steps = Json::array();
    for (const StepRecord& record : steps_)
        steps.push_back({ { "step", record.step }, { "map_version", record.mapVersion } });
    respondJson(exchange, 200,
        {
            { "name", options_.name },
            { "group", options_.group },
            { "ranks", options_.ranks },
            { "steps", steps },
            { "mixed_map_steps", barrier_->mixedMapSteps() },
        });
}

// All ranks of one engine have the same token time. A step delay makes the engine slower than the others of its group.
void ModelEngineRole::reportExperts(HttpExchange& exchange)
{
    auto stepTime = std::chrono::duration_cast<std::chrono::microseconds>(currentStepTime());
    std::vector<std::int64_t> tokenTimes(options_.ranks, stepTime.count());
    respondJson(exchange, 200, { { "counts", expertCounts_ }, { "rank_token_us", tokenTimes } });
}

void ModelEngineRole::handleKeyValueCache(HttpExchange& exchange, const std::string& requestId)
{
    if (exchange.request().method == "POST") {
        Json json = parseJsonObject(exchange.request().body);
        cache_.use(clock_.now(), json.at("prompt").get<std::string>());
        respondJson(exchange, 200, Json::object());
        return;
    }
    const GenerationRequest* request = batch_->findRunning(requestId);
    if (!request)
        respondError(exchange, 404, "no running stream of this request");
    else
        respondJson(exchange, 200, { { "request_id", requestId }, { "prompt", request->prompt } });
}

void ModelEngineRole::handleOrder(const Exchange& exchange)
{
    Json order = parseJsonObject(exchange->request().body);
    OrderResult result = orders_.checkFencing(order);
    if (result.status != 200) {
        respondJson(*exchange, result.status, { { "error", result.error }, { "highest_token", orders_.state().at("highest_token") } });
        return;
    }
    std::uint64_t bytes = order.value("bytes", std::uint64_t { 0 });
    bool isPrepare = order.value("kind", "") == "prepare";
    std::uint64_t version = isPrepare ? order.at("map_version").get<std::uint64_t>() : 0;
    bool isLoaded = isPrepare && orders_.isPrepared(version);
    if (!options_.weightStore || bytes == 0 || isLoaded) {
        applyOrder(*exchange, order);
        return;
    }
    // A controller resends the order until the state shows the prepared map. The weights are loaded only once.
    if (isPrepare && loadingVersions_.count(version) != 0) {
        respondJson(*exchange, 200, orders_.state());
        return;
    }
    if (isPrepare)
        loadingVersions_.insert(version);
    HttpRequest request;
    request.target = "/v1/weights/" + percentEncode(order.value("weights", "map")) + "?bytes=" + std::to_string(bytes);
    client_.send(
        *options_.weightStore, request,
        [this, exchange, order, version](const HttpResponse& response) {
            loadingVersions_.erase(version);
            if (response.status != 200) {
                respondError(*exchange, 503, "the weight store failed to load the weights");
                return;
            }
            handleSafely(exchange, [this, &order](const Exchange& loaded) { applyLoadedOrder(*loaded, order); });
        },
        [this, exchange, version](const HttpFailure&) {
            loadingVersions_.erase(version);
            respondError(*exchange, 503, "the weight store can't be reached");
        });
}

// Checks the fencing token again, because another controller may have become leader while the weights were loaded.
void ModelEngineRole::applyLoadedOrder(HttpExchange& exchange, const Json& order)
{
    OrderResult result = orders_.checkFencing(order);
    if (result.status == 200)
        applyOrder(exchange, order);
    else
        respondError(exchange, result.status, result.error);
}

void ModelEngineRole::applyOrder(HttpExchange& exchange, const Json& order)
{
    OrderResult result = orders_.apply(order);
    if (orders_.isBlocked())
        leaveBarrier();
    if (result.status == 200)
        respondJson(exchange, 200, orders_.state());
    else
        respondError(exchange, result.status, result.error);
}

void ModelEngineRole::handleArrival(const Exchange& exchange)
{
    Json json = parseJsonObject(exchange->request().body);
    BarrierArrival arrival;
    arrival.engine = json.at("engine").get<std::string>();
    arrival.lastStep = json.at("last_step").get<std::uint64_t>();
    arrival.mapVersion = json.at("map_version").get<std::uint64_t>();
    arrival.isFresh = json.at("fresh").get<bool>();
    std::uint64_t number = barrier_->arrive(arrival, [exchange](const BarrierResponse& barrierResponse) {
        respondJson(*exchange, 200, { { "adopt", barrierResponse.mustApplyState }, { "step", barrierResponse.step }, { "map_version", barrierResponse.mapVersion } });
    });
    exchange->setCloseHandler([weak = std::weak_ptr<StepBarrier>(barrier_), number] {
        if (std::shared_ptr<StepBarrier> barrier = weak.lock())
            barrier->removeArrival(number);
    });
}

Duration ModelEngineRole::prefillTime(const std::string& prompt)
{
    std::size_t cachedBytes = cache_.use(clock_.now(), prompt) * PrefixCache::blockBytes;
    double tokens = static_cast<double>(prompt.size() - cachedBytes) / bytesPerPromptToken;
    std::chrono::duration<double, std::milli> time(tokens / options_.prefillTokensPerMs);
    return std::chrono::duration_cast<Duration>(time);
}

// Assigns a token to an expert. The topic of the prompt, that is its first block, determines which experts get most tokens.
void ModelEngineRole::countExperts(const std::string& prompt, std::uint64_t tokenIndex)
{
    std::uint64_t topic = XXH64(prompt.data(), std::min(prompt.size(), PrefixCache::blockBytes), 0);
    std::uint64_t randomBits = XXH64(prompt.data(), prompt.size(), ~tokenIndex);
    double fraction = static_cast<double>(randomBits >> 11) / static_cast<double>(1ULL << 53);
    std::uint64_t distance = static_cast<std::uint64_t>(std::pow(fraction, expertSkew) * static_cast<double>(options_.experts));
    ++expertCounts_[(topic + distance) % options_.experts];
}

void ModelEngineRole::startStepping()
{
    if (isStepping_)
        return;
    isStepping_ = true;
    loop_.post([this] { beginStep(); });
}

void ModelEngineRole::beginStep()
{
    if (!options_.barrier && batch_->isEmpty()) {
        isStepping_ = false;
        return;
    }
    std::uint64_t step = orders_.lastStep() + 1;
    if (faults_.settings().isStalled || !orders_.tryBegin(step)) {
        retryStep();
        return;
    }
    if (options_.barrier)
        arriveAtBarrier(step);
    else
        runStep(step);
}

void ModelEngineRole::retryStep()
{
    delayed_.run(retryDelay, [this] { beginStep(); });
}

void ModelEngineRole::arriveAtBarrier(std::uint64_t step)
{
    Json arrival {
        { "engine", options_.name },
        { "last_step", orders_.lastStep() },
        { "map_version", orders_.mapVersionAt(step) },
        { "fresh", orders_.lastStep() == 0 },
    };
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/barrier";
    request.body = arrival.dump();
    auto body = std::make_shared<std::string>();
    auto status = std::make_shared<int>(0);
    HttpResponseHandlers handlers;
    handlers.onHead = [status](const HttpResponse& head) { *status = head.status; };
    handlers.onBody = [body](std::string_view part) { *body += part; };
    handlers.onEnd = [this, status, body] {
        loop_.post([this, status, body] { handleBarrierResponse(*status, *body); });
    };
    handlers.onFailure = [this](const HttpFailure&) {
        loop_.post([this] { handleBarrierResponse(0, ""); });
    };
    barrierCall_ = client_.stream(*options_.barrier, request, std::move(handlers));
}

// Cancels a pending arrival. It contains the map of the step, which a recovery may change, so the engine arrives again.
void ModelEngineRole::leaveBarrier()
{
    if (!barrierCall_)
        return;
    barrierCall_ = nullptr;
    retryStep();
}

void ModelEngineRole::handleBarrierResponse(int status, const std::string& body)
{
    if (!barrierCall_)
        return;
    barrierCall_ = nullptr;
    if (status != 200) {
        retryStep();
        return;
    }
    Json json = Json::parse(body);
    std::uint64_t step = json.at("step").get<std::uint64_t>();
    if (!json.at("adopt").get<bool>()) {
        runStep(step);
        return;
    }
    orders_.applyGroupState(step, json.at("map_version").get<std::uint64_t>());
    beginStep();
}

void ModelEngineRole::runStep(std::uint64_t step)
{
    batch_->admitWaiting(clock_.now());
    auto time = std::chrono::ceil<std::chrono::milliseconds>(currentStepTime());
    std::uint64_t mapVersion = orders_.mapVersionAt(step);
    delayed_.run(time, [this, step, mapVersion] { finishStep(step, mapVersion); });
}

void ModelEngineRole::finishStep(std::uint64_t step, std::uint64_t mapVersion)
{
    // A stalled rank doesn't finish its step, so that all ranks of its group wait for it.
    if (faults_.settings().isStalled) {
        delayed_.run(retryDelay, [this, step, mapVersion] { finishStep(step, mapVersion); });
        return;
    }
    steps_.push_back({ step, mapVersion });
    if (steps_.size() > maxStepRecords)
        steps_.pop_front();
    orders_.finish(step);
    batch_->step(clock_.now());
    beginStep();
}

Duration ModelEngineRole::currentStepTime() const
{
    double factor = 1 + stepTimePerStream * static_cast<double>(batch_->running());
    return std::chrono::duration_cast<Duration>(options_.stepTime * factor) + faults_.settings().stepDelay;
}

void ModelEngineRole::takeLoadSnapshot()
{
    load_ = { clock_.now(), batch_->running(), batch_->queued(), currentStepTime() };
}

}

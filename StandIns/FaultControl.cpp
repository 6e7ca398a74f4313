#include "StandIns/FaultControl.h"

#include "StandIns/FaultExchanges.h"
#include "StandIns/JsonHttp.h"

#include <utility>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

// Requests that arrive within this time after the first one are handled in reverse order.
constexpr std::chrono::milliseconds reorderingWindow { 30 };

Json describe(const FaultSettings& settings)
{
    return {
        { "delay_ms", settings.delay.count() },
        { "step_delay_ms", settings.stepDelay.count() },
        { "down", settings.isDown },
        { "stall", settings.isStalled },
        { "reorder", settings.reorders },
        { "lose_acknowledgements", settings.lostAcknowledgements },
        { "duplicate", settings.duplicates },
    };
}

}

FaultControl::FaultControl(EventLoop& loop, HttpServer::Handler handler, WritePredicate isWrite)
    : delayed_(loop)
    , handler_(std::move(handler))
    , isWrite_(std::move(isWrite))
{
}

void FaultControl::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    if (pathOf(exchange->request().target) == "/control") {
        handleSafely(exchange, [this](const std::shared_ptr<HttpExchange>& control) { applyControl(*control); });
        return;
    }
    if (settings_.isDown) {
        exchange->abort();
        return;
    }
    if (settings_.isStalled)
        stalled_.push_back(exchange);
    else if (settings_.reorders)
        collectForReordering(exchange);
    else
        scheduleHandling(exchange);
}

void FaultControl::applyControl(HttpExchange& exchange)
{
    // Absent fields keep their values, so that tests can combine faults in several requests.
    if (!exchange.request().body.empty()) {
        Json json = parseJsonObject(exchange.request().body);
        settings_.delay = std::chrono::milliseconds(json.value("delay_ms", settings_.delay.count()));
        settings_.stepDelay = std::chrono::milliseconds(json.value("step_delay_ms", settings_.stepDelay.count()));
        settings_.isDown = json.value("down", settings_.isDown);
        settings_.isStalled = json.value("stall", settings_.isStalled);
        settings_.reorders = json.value("reorder", settings_.reorders);
        settings_.lostAcknowledgements = json.value("lose_acknowledgements", settings_.lostAcknowledgements);
        settings_.duplicates = json.value("duplicate", settings_.duplicates);
    }
    respondJson(exchange, 200, describe(settings_));
    if (!settings_.isStalled)
        releaseStalled();
}

void FaultControl::collectForReordering(const std::shared_ptr<HttpExchange>& exchange)
{
    collected_.push_back(exchange);
    if (collected_.size() == 1)
        delayed_.run(reorderingWindow, [this] { releaseReversed(); });
}

void FaultControl::releaseReversed()
{
    std::vector<std::shared_ptr<HttpExchange>> collected = std::move(collected_);
    collected_.clear();
    for (auto exchange = collected.rbegin(); exchange != collected.rend(); ++exchange)
        scheduleHandling(*exchange);
}

void FaultControl::releaseStalled()
{
    std::vector<std::shared_ptr<HttpExchange>> stalled = std::move(stalled_);
    stalled_.clear();
    for (const std::shared_ptr<HttpExchange>& exchange : stalled)
        handle(exchange);
}

void FaultControl::scheduleHandling(const std::shared_ptr<HttpExchange>& exchange)
{
    if (settings_.delay.count() == 0)
        handleWithWriteFaults(exchange);
    else
        delayed_.run(settings_.delay, [this, exchange] { handleWithWriteFaults(exchange); });
}

void FaultControl::handleWithWriteFaults(const std::shared_ptr<HttpExchange>& exchange)
{
    if (pathOf(exchange->request().target) == "/healthz") {
        exchange->respond({ 200, {}, "ok\n" });
        return;
    }
    std::shared_ptr<HttpExchange> forwarded = exchange;
    bool isWrite = isWrite_(exchange->request());
    if (isWrite && settings_.duplicates > 0) {
        --settings_.duplicates;
        handleSafely(std::make_shared<DiscardingExchange>(exchange->request()), handler_);
    }
    if (isWrite && settings_.lostAcknowledgements > 0) {
        bool closesConnection = settings_.lostAcknowledgements % 2 == 1;
        --settings_.lostAcknowledgements;
        forwarded = std::make_shared<LostResponseExchange>(exchange, closesConnection);
    }
    handleSafely(forwarded, handler_);
}

}

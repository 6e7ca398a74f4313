#pragma once

#include "StandIns/DelayedTasks.h"
#include "Transport/HttpServer.h"

#include <vector>

namespace Damaskgrade {

// The injected faults of a stand-in, set by POST /control.
struct FaultSettings {
    // Delay before each request is handled.
    std::chrono::milliseconds delay { 0 };
    // Time added to each step of a model engine, to simulate a slow rank.
    std::chrono::milliseconds stepDelay { 0 };
    // Connections are closed without a response.
    bool isDown { false };
    // Requests are kept until this is cleared, and handled then.
    bool isStalled { false };
    // Requests that arrive within the reordering window (30 ms) are handled in reverse order.
    bool reorders { false };
    // The number of following writes that are applied but whose responses are lost: if the number left is odd, the
    // connection is closed, otherwise the response has status 503.
    std::uint64_t lostAcknowledgements { 0 };
    // The number of following writes that are applied twice.
    std::uint64_t duplicates { 0 };
};

// Injects faults into the requests of a stand-in before they reach its handler. It handles /control and /healthz itself.
class FaultControl {
public:
    using WritePredicate = std::function<bool(const HttpRequest&)>;

    // isWrite returns whether lost acknowledgements and duplicates apply to a request.
    FaultControl(EventLoop& loop, HttpServer::Handler handler, WritePredicate isWrite);

    void handle(const std::shared_ptr<HttpExchange>& exchange);
    const FaultSettings& settings() const { return settings_; }

private:
    void applyControl(HttpExchange& exchange);
    void collectForReordering(const std::shared_ptr<HttpExchange>& exchange);
    void releaseReversed();
    void releaseStalled();
    void scheduleHandling(const std::shared_ptr<HttpExchange>& exchange);
    void handleWithWriteFaults(const std::shared_ptr<HttpExchange>& exchange);

    DelayedTasks delayed_;
    HttpServer::Handler handler_;
    WritePredicate isWrite_;
    FaultSettings settings_;
    std::vector<std::shared_ptr<HttpExchange>> stalled_;
    std::vector<std::shared_ptr<HttpExchange>> collected_;
};

}

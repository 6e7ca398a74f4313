#pragma once

#include "StandIns/DelayedTasks.h"
#include "Transport/HttpServer.h"

#include <vector>

namespace Damaskgrade {

// The faults of a stand-in, as set by POST /control.
struct FaultSettings {
    // Each request is handled after this delay.
    std::chrono::milliseconds delay { 0 };
    // Each step of a model engine takes this much longer, as on a slow rank.
    std::chrono::milliseconds stepDelay { 0 };
    // Connections are closed without an answer.
    bool isDown { false };
    // Requests are held until this is cleared.
    bool isStalled { false };
    // Requests that arrive within a short time of each other are handled in reverse order.
    bool reorders { false };
    // This many of the next writes are applied and their answers lost, in turn by a closed connection and by status 503.
    std::uint64_t lostAcknowledgements { 0 };
    // This many of the next writes are applied twice.
    std::uint64_t duplicates { 0 };
};

// Stands before the handler of a stand-in and injects faults. Answers POST /control and GET /healthz itself.
class FaultControl {
public:
    using WritePredicate = std::function<bool(const HttpRequest&)>;

    // isWrite says which requests count as writes for lost acknowledgements and duplicates.
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

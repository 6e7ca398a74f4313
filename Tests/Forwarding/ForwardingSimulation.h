#pragma once

#include "Core/ManualClock.h"
#include "Forwarding/ForwardedRequest.h"
#include "Forwarding/SimulatedConnection.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// What a caller has received for one request.
class SimulatedExchange : public HttpExchange {
public:
    explicit SimulatedExchange(HttpRequest request);

    const HttpRequest& request() const override { return request_; }
    void respond(HttpResponse response) override { response_ = std::move(response); }
    void beginStream(HttpResponse head) override { response_ = std::move(head); }
    void write(std::string_view chunk) override { response_->body.append(chunk); }
    void endStream() override { isStreamComplete_ = true; }
    void abort() override { isAborted_ = true; }
    std::size_t pendingBytes() const override { return 0; }
    void setCloseHandler(std::function<void()> handler) override { onClose_ = std::move(handler); }

    // Returns 0 before the response has begun.
    int status() const { return response_ ? response_->status : 0; }
    std::string body() const { return response_ ? response_->body : ""; }
    bool isStreamComplete() const { return isStreamComplete_; }
    bool isAborted() const { return isAborted_; }

    // Closes the caller's connection.
    void disconnect();

private:
    HttpRequest request_;
    std::optional<HttpResponse> response_;
    std::function<void()> onClose_;
    bool isStreamComplete_ { false };
    bool isAborted_ { false };
};

// Forwards requests of one service under a manual clock. The test plays the servers through their connections.
class ForwardingSimulation {
public:
    ForwardingSimulation(RequestKind kind, std::uint32_t maxAttempts, std::size_t serverCount, std::uint32_t slots = 8);

    // Starts a request with this id.
    std::shared_ptr<SimulatedExchange> start(const std::string& id);

    // Advances the clock in steps of the interval at which an entry checks its requests.
    void advance(std::chrono::milliseconds time);

    // Returns the number of requests that the servers have received on all connections.
    std::size_t sentRequests() const;

    // Returns the connections that have carried a request, in the order in which they were opened.
    std::vector<std::shared_ptr<SimulatedConnection>> usedConnections() const;

    // Responses of a server to the request with this id. A refusal proves that the server did not execute the request.
    static std::string refusal(std::string_view id);
    static std::string refusalWithoutId();
    static std::string success(std::string_view id, std::string_view body);
    static std::string streamHead(std::string_view id);
    static std::string chunk(std::string_view data);
    static std::string event(int number);
    static std::string streamEnd();

    // States whether servers accept connections from now on.
    void setAcceptsConnections(bool accepts) { acceptsConnections_ = accepts; }

    void addRule(SelectionRule rule) { selector_.addRule(std::move(rule)); }

    ManualClock clock;
    ServiceRetryBudget retryBudget;
    ForwardingCounters counters;

private:
    std::shared_ptr<UpstreamConnection> makeConnection();

    bool acceptsConnections_ { true };
    std::vector<std::shared_ptr<SimulatedConnection>> connections_;
    HeaderNames names_;
    Random random_ { 7 };
    FleetView fleet_;
    InFlightTracker loads_;
    OutlierDetector outliers_;
    ServerRateLimits rateLimits_;
    ServerSelector selector_;
    UpstreamPool pool_;
    ResponseBuffers responseBuffers_;
    DecisionLog log_;
    ResponseTimes responseTimes_;
    CallerAgeEstimator callerAges_;
    PromptQuarantine quarantine_;
    CrashDetector crashDetector_;
    ForwardingContext context_;
    CatalogPointer catalog_;
    std::vector<std::shared_ptr<ForwardedRequest>> requests_;
};

}

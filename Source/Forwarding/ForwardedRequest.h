#pragma once

#include "Catalog/Catalog.h"
#include "Core/ResultCode.h"
#include "Forwarding/EventSplitter.h"
#include "Forwarding/ForwardingContext.h"
#include "Forwarding/WaitQueueKey.h"
#include "Transport/HttpServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Damaskgrade {

// What the catalog says of one request.
struct RequestOptions {
    // Keeps the route alive.
    CatalogPointer catalog;
    const Route* route { nullptr };
    // The service chosen by the weights of the route.
    std::string service;
    // Empty without a key.
    std::string customer;
    std::int32_t priority { 0 };
};

// One request on its way to backend servers and its response on the way back. Sends it to one server at
// a time, and again to another only where that can't execute a non-idempotent request twice: after proof
// that it was not executed, or if its route permits a repeat.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
public:
    // onDone is called once, when the request needs no further attention.
    ForwardedRequest(ForwardingContext& context, std::shared_ptr<HttpExchange> exchange, RequestOptions options, std::function<void(ForwardedRequest*)> onDone);
    ~ForwardedRequest();
    ForwardedRequest(const ForwardedRequest&) = delete;
    ForwardedRequest& operator=(const ForwardedRequest&) = delete;

    void start();

    // Checks time limits, and sends a waiting request if a server is free. Call about 20 times a second.
    void tick();

    bool isWaiting() const { return state_ == State::Waiting; }
    WaitQueueKey waitQueueKey() const { return { options_.priority, willBeLate(), sends_, arrivedAt_ }; }

private:
    enum class State {
        // Waits for a server to become free.
        Waiting,
        Connecting,
        // Sent; no response head of its own yet.
        Sent,
        // Receives a response that is kept back until it is whole.
        Buffering,
        // Receives events.
        Streaming,
        Done,
    };

    // Why an attempt did not lead to an answer.
    enum class AttemptFailure {
        NotConnected,
        // The server stated that it did not execute the request.
        Refused,
        // The request may have been executed.
        Unknown,
        // The server answered with a failure of its own.
        ServerFailure,
    };

    void send();
    void sendTo(const ServerRecord& server);
    void waitOrRefuse();
    void connected(std::uint32_t attempt, std::shared_ptr<UpstreamConnection> connection, bool isReused);
    std::string serializeRequest() const;

    bool handleHead(const HttpResponse& head);
    void handleBody(std::string_view body);
    void handleEvent(const RawEvent& event);
    void recordEventGap();
    bool isLate() const;
    bool willBeLate() const;
    void handleEnd();
    void endAttempt(AttemptFailure failure, std::string_view reason);
    void recordRefusal(const std::string& serverId);
    void recordBrokenConnection(const std::string& serverId);
    void closeConnection();
    void releaseServer();
    bool mayRetry(AttemptFailure failure);

    bool isStreamStarted() const { return streamStarted_; }
    bool isResponseAuthentic(const HttpResponse& head) const;
    void deliverResponse();
    void finishStream();
    void giveUp(std::string_view reason);
    void respondRefusal(std::string_view reason);
    void respondFailure(int status, ResultCode code, Executed executed, std::string_view reason);
    void handleCallerDisconnect();
    void finish(std::string_view outcome, ResultCode code, std::string_view reason);

    ForwardingContext& context_;
    std::shared_ptr<HttpExchange> exchange_;
    RequestOptions options_;
    std::function<void(ForwardedRequest*)> onDone_;
    std::string requestId_;
    TimePoint arrivedAt_;
    // The caller or the route waits no longer than this.
    TimePoint expiresAt_;
    bool isRouteTimeout_ { false };
    TimePoint waitUntil_;
    // Time since the caller's first attempt, of which this one may be a repetition.
    std::chrono::milliseconds callerAge_ { 0 };
    // A response that begins later misses the target latency, counted from the caller's first attempt.
    TimePoint targetAt_;

    State state_ { State::Waiting };
    std::uint32_t attempt_ { 0 };
    std::uint32_t sends_ { 0 };
    // Sends that were executed or may have been.
    std::uint32_t executions_ { 0 };
    // Of the executions, those on a kept connection that broke before any response.
    std::uint32_t staleConnections_ { 0 };
    std::uint32_t failedConnections_ { 0 };
    bool isFirstSend_ { true };
    std::vector<std::string> tried_;
    std::optional<ServerRecord> server_;
    std::shared_ptr<UpstreamConnection> connection_;
    bool isReusedConnection_ { false };
    TimePoint firstSentAt_;
    TimePoint sentAt_;
    TimePoint progressAt_;

    std::optional<HttpResponse> head_;
    bool isRefusal_ { false };
    // A failure that a server answered with; passed on if nothing better follows.
    std::optional<HttpResponse> serverFailure_;
    std::optional<EventSplitter> splitter_;
    bool streamStarted_ { false };
    std::optional<std::uint64_t> lastEventId_;
    std::uint32_t events_ { 0 };
    TimePoint firstEventAt_;
    TimePoint lastEventAt_;
    Duration longestGap_ { 0 };
    TimePoint longestGapEndedAt_;
    bool isCallerDisconnected_ { false };
    std::string lastReason_;
};

}

#pragma once

#include "Core/ResultCode.h"
#include "Forwarding/EventSplitter.h"
#include "Forwarding/EventTimes.h"
#include "Forwarding/ForwardingContext.h"
#include "Forwarding/HeldAttempt.h"
#include "Forwarding/PromptGuard.h"
#include "Forwarding/RequestOptions.h"
#include "Forwarding/RequestTiming.h"
#include "Forwarding/WaitQueueKey.h"
#include "Transport/HttpServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Damaskgrade {

// Forwards one request to a backend server, and the response to the caller. Sends the request to one server at
// a time, but to a second one if the first is silent and the route permits it; the first one that continues the response
// is kept. Retries only if that cannot execute a non-idempotent request twice: if the server proved that it did
// not execute the request, or if the route permits retries.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
public:
    // onDone is called once, when the request is finished.
    ForwardedRequest(ForwardingContext& context, std::shared_ptr<HttpExchange> exchange, RequestOptions options, std::function<void(ForwardedRequest*)> onDone);
    ~ForwardedRequest();
    ForwardedRequest(const ForwardedRequest&) = delete;
    ForwardedRequest& operator=(const ForwardedRequest&) = delete;

    void start();

    // Checks timeouts, and sends a waiting request if a server is free. Call about 20 times a second.
    void tick();

    bool isWaiting() const { return state_ == State::Waiting; }
    WaitQueueKey waitQueueKey() const { return { options_.priority, willBeLate(), sends_, timing_->arrivedAt() }; }

private:
    enum class State {
        // Waits for a server to become free.
        Waiting,
        Connecting,
        // Sent; no response head for this request has arrived yet.
        Sent,
        // Receives a response that is sent to the caller once it is complete.
        Buffering,
        // Receives events.
        Streaming,
        Done,
    };

    // Why an attempt did not yield a response for the caller.
    enum class AttemptFailure {
        NotConnected,
        // The server stated that it did not execute the request.
        Refused,
        // The request may have been executed.
        Unknown,
        // The server responded with an error status.
        ServerFailure,
    };

    ServerSelectionRequest serverSelectionRequest(gsl::span<const std::string> tried, bool mayQueue) const { return { options_.service, tried, mayQueue, options_.priority, willBeLate(), prompt_ }; }
    void send();
    bool isAdmittedByQuarantine();
    void sendTo(const ServerRecord& server);
    bool isSilent() const;
    void trySecondServer();
    bool canSendToSecondServer() const;
    HeldAttempt takeCurrentAttempt();
    void makeCurrent(HeldAttempt attempt);
    void holdAttempt();
    void resumeHeldAttempt();
    void closeHeldAttempt();
    bool isHeld(std::uint32_t attempt) const { return held_ && held_->number == attempt; }
    void handleHeldHead(const HttpResponse& head);
    void handleHeldBody(std::string_view body);
    void handleHeldEnd();
    void handleHeldFailure();
    void waitOrRefuse();
    void connected(std::uint32_t attempt, std::shared_ptr<UpstreamConnection> connection, bool isReused);
    std::string serializeRequest() const;

    void handleHead(const HttpResponse& head);
    void handleBody(std::string_view body);
    void handleEvent(std::uint32_t attempt, const RawEvent& event);
    void recordEvent();
    void recordSurvival();
    bool isLate() const;
    bool willBeLate() const;
    void handleEnd();
    void handleStreamEnd();
    void endAttempt(AttemptFailure failure, std::string_view reason);
    void recordRefusal(const std::string& serverId);
    void recordBrokenConnection(const std::string& serverId);
    PromptExposure currentExposure() const;
    void checkForCrash(const ServerRecord& server, const PromptExposure& exposure);
    void recordAbandonment();
    void retryOrGiveUp(AttemptFailure failure);
    void closeConnection();
    void releaseServer();
    bool canRetry(AttemptFailure failure);

    // Returns whether the current attempt has been sent and has not ended.
    bool isRunning() const { return state_ == State::Sent || state_ == State::Buffering || state_ == State::Streaming; }
    bool isStreamStarted() const { return streamStarted_; }
    void deliverResponse();
    void finishStream();
    void giveUp(std::string_view reason);
    void respondRefusal(std::string_view reason);
    void handleCallerDisconnect();
    void finish(std::string_view outcome, ResultCode code, std::string_view reason);

    ForwardingContext& context_;
    std::shared_ptr<HttpExchange> exchange_;
    RequestOptions options_;
    std::function<void(ForwardedRequest*)> onDone_;
    std::string requestId_;
    // Distinguishes the requests of this entry.
    std::uint64_t number_ { 0 };
    PromptGuard promptGuard_;
    // Empty unless the server selection considers which parts a server holds.
    std::vector<PromptSegment> prompt_;
    // Set in the constructor.
    std::optional<RequestTiming> timing_;

    State state_ { State::Waiting };
    // Number of the current attempt, and of the last one that was started.
    std::uint32_t attempt_ { 0 };
    std::uint32_t lastAttempt_ { 0 };
    std::optional<HeldAttempt> held_;
    std::uint32_t sends_ { 0 };
    // Sends that were or may have been executed, without the current one.
    std::uint32_t executions_ { 0 };
    // The part of executions_ that was sent on a reused connection, which broke before any response.
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

    // Time of the first event in the current attempt.
    std::optional<TimePoint> attemptBegunAt_;
    // The server has survived the start of the response in the current attempt.
    bool hasSurvivedStart_ { false };
    bool isCrashCheckPending_ { false };
    std::optional<std::chrono::milliseconds> retryAfter_;
    std::optional<HttpResponse> head_;
    bool isRefusal_ { false };
    std::size_t refusalBytes_ { 0 };
    // Bytes of responses in all attempts, reserved until the request is finished.
    std::size_t bufferedBytes_ { 0 };
    // The last error response of a server; sent to the caller if no later attempt succeeds.
    std::optional<HttpResponse> serverFailure_;
    // Shared with the call that feeds it, during which its attempt may end.
    std::shared_ptr<EventSplitter> splitter_;
    bool streamStarted_ { false };
    std::optional<std::uint64_t> lastEventId_;
    EventTimes events_;
    bool isCallerDisconnected_ { false };
    std::string lastReason_;
};

}

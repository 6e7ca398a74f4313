#include "Forwarding/ForwardedRequest.h"

#include "Forwarding/FailureResponse.h"
#include "Forwarding/HeaderValues.h"
#include "Forwarding/MessageHeaders.h"
#include "Forwarding/ServerStatements.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusTimeout = 504;
constexpr int firstServerFailureStatus = 500;
// The urgency for the engine ranges from 0, the most urgent, to this value.
constexpr int lowestUrgency = 9;
// Number of different times that callers are told who are refused at the same time.
constexpr int retryAfterSteps = 16;
constexpr std::string_view brokenConnection = "connection broke";
constexpr std::string_view incompleteStream = "stream ended within an event";
constexpr std::string_view quarantinedPrompt = "prompt part may crash servers";

std::int64_t milliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::vector<PromptPart> promptParts(const ForwardingContext& context, const HttpRequest& request)
{
    std::optional<std::string> parts = findHeader(request.headers, context.names.promptParts);
    return parts ? context.decodePromptParts(*parts) : std::vector<PromptPart>();
}

}

ForwardedRequest::ForwardedRequest(
    ForwardingContext& context, std::shared_ptr<HttpExchange> exchange, RequestOptions options, std::function<void(ForwardedRequest*)> onDone)
    : context_(context)
    , exchange_(std::move(exchange))
    , options_(std::move(options))
    , onDone_(std::move(onDone))
    , number_(++context.counters.requests)
    , promptGuard_(context.quarantine, context.crashDetector, promptParts(context, exchange_->request()), number_)
{
    const std::vector<HttpHeader>& headers = exchange_->request().headers;
    requestId_ = findHeader(headers, context_.names.requestId).value_or("");
    std::optional<std::string> parts = findHeader(headers, context_.names.promptParts);
    if (parts && options_.route->hasStickySessions && context_.decodePromptSegments)
        prompt_ = context_.decodePromptSegments(*parts);
    prompt_.resize(std::min(prompt_.size(), context_.settings.maxPromptSegments));
    std::optional<std::chrono::milliseconds> deadline = parseMilliseconds(findHeader(headers, context_.names.deadline));
    std::chrono::milliseconds callerAge = deadline ? context_.callerAgeEstimator.observe(options_.route->name, *deadline) : std::chrono::milliseconds::zero();
    timing_.emplace(context_.clock.now(), *options_.route, deadline, callerAge, context_.settings);
}

ForwardedRequest::~ForwardedRequest()
{
    context_.responseBuffers.release(bufferedBytes_);
    if (connection_)
        connection_->close();
    if (held_)
        held_->connection->close();
}

void ForwardedRequest::start()
{
    context_.retryBudget.addRequest(options_.service);
    std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    exchange_->setCloseHandler([weak] {
        if (std::shared_ptr<ForwardedRequest> request = weak.lock())
            request->handleCallerDisconnect();
    });
    send();
}

void ForwardedRequest::tick()
{
    TimePoint now = context_.clock.now();
    std::shared_ptr<ForwardedRequest> self = shared_from_this();
    if (state_ == State::Done)
        return;
    if (now >= timing_->respondAt()) {
        ++context_.counters.timedOut;
        giveUp(timing_->expiresAtRouteTimeout() ? "route timeout" : "deadline");
        return;
    }
    if (state_ == State::Waiting) {
        send();
        return;
    }
    // The server has not begun the request yet, and would crash if it did and the suspicion is right.
    if (state_ == State::Sent && options_.route->isRetryable() && promptGuard_.mustWithdraw()) {
        if (held_)
            resumeHeldAttempt();
        else
            giveUp(quarantinedPrompt);
        return;
    }
    if (!held_ && isSilent())
        trySecondServer();
}

// Returns whether the server has sent nothing for so long that another one would probably respond earlier.
bool ForwardedRequest::isSilent() const
{
    Duration silence = context_.clock.now() - progressAt_;
    if (state_ == State::Sent)
        return options_.route->kind == RequestKind::Idempotent && silence > context_.settings.idempotentResponseTimeout;
    return state_ == State::Streaming && silence > context_.settings.streamStallTimeout
        && context_.selector.hasProgressElsewhere(options_.service, server_->id, progressAt_ + context_.settings.streamStallTimeout / 2);
}

// Sends the request to a second server if there is a free one. The silent server may be sound, so its attempt is ended only
// when the other one has continued the response.
void ForwardedRequest::trySecondServer()
{
    if (!canSendToSecondServer())
        return;
    std::vector<std::string> excluded = tried_;
    excluded.push_back(server_->id);
    ServerSelection selection = context_.selector.select(serverSelectionRequest(excluded, false));
    if (selection.kind != SelectionKind::Server || selection.server->id == server_->id || !context_.retryBudget.trySpend(options_.service))
        return;
    holdAttempt();
    sendTo(*selection.server);
}

bool ForwardedRequest::canSendToSecondServer() const
{
    const Route& route = *options_.route;
    bool hasAttemptLeft = executions_ + 1 < route.maxAttempts && sends_ < route.maxAttempts + context_.settings.maxRefusals;
    bool canResume = !isStreamStarted() || lastEventId_.has_value();
    return route.isRetryable() && hasAttemptLeft && canResume && !promptGuard_.isSuspect();
}

HeldAttempt ForwardedRequest::takeCurrentAttempt()
{
    HeldAttempt attempt { attempt_, *server_, std::move(connection_), isReusedConnection_, sentAt_, attemptBegunAt_, hasSurvivedStart_, std::move(head_), std::move(splitter_) };
    server_.reset();
    head_.reset();
    return attempt;
}

void ForwardedRequest::makeCurrent(HeldAttempt attempt)
{
    attempt_ = attempt.number;
    server_ = std::move(attempt.server);
    connection_ = std::move(attempt.connection);
    isReusedConnection_ = attempt.isReusedConnection;
    sentAt_ = attempt.sentAt;
    progressAt_ = context_.clock.now();
    attemptBegunAt_ = attempt.begunAt;
    hasSurvivedStart_ = attempt.hasSurvivedStart;
    head_ = std::move(attempt.head);
    splitter_ = std::move(attempt.splitter);
    state_ = splitter_ ? State::Streaming : State::Sent;
    isRefusal_ = false;
    refusalBytes_ = 0;
}

void ForwardedRequest::holdAttempt()
{
    context_.log.write(LogLine("attemptHeld").add("request", requestId_).add("server", server_->id).add("attempt", attempt_).add("events", events_.count()).add("silentMs", milliseconds(context_.clock.now() - progressAt_)));
    ++executions_;
    context_.outliers.callFailed(server_->id);
    held_ = takeCurrentAttempt();
}

// Ends the current attempt, if there is one, and makes the held one current again.
void ForwardedRequest::resumeHeldAttempt()
{
    context_.log.write(LogLine("attemptResumed").add("request", requestId_).add("server", held_->server.id).add("attempt", held_->number).add("endedServer", server_ ? server_->id : ""));
    if (server_) {
        if (state_ != State::Connecting)
            ++executions_;
        tried_.push_back(server_->id);
        closeConnection();
        releaseServer();
    }
    --executions_;
    makeCurrent(*std::exchange(held_, std::nullopt));
}

void ForwardedRequest::closeHeldAttempt()
{
    if (!held_)
        return;
    ServerRecord server = held_->server;
    std::shared_ptr<UpstreamConnection> connection = std::move(held_->connection);
    held_.reset();
    connection->close();
    context_.loads.finished(server.id);
    context_.selector.recordEnd(server, serverSelectionRequest(tried_, true));
    tried_.push_back(server.id);
}

// Handles the head of the response to a held attempt that had none. The other attempt is held until that response is
// complete, and continues if it fails, unless it has a response itself.
void ForwardedRequest::handleHeldHead(const HttpResponse& head)
{
    if (state_ == State::Buffering) {
        closeHeldAttempt();
        return;
    }
    if (state_ == State::Sent) {
        HeldAttempt other = takeCurrentAttempt();
        makeCurrent(*std::exchange(held_, std::move(other)));
    } else {
        resumeHeldAttempt();
    }
    handleHead(head);
}

void ForwardedRequest::handleHeldFailure()
{
    promptGuard_.recordPossibleCrash(held_->server, held_->exposure());
    closeHeldAttempt();
}

void ForwardedRequest::handleHeldBody(std::string_view body)
{
    std::shared_ptr<EventSplitter> splitter = held_->splitter;
    if (splitter && !splitter->feed(body) && held_ && held_->splitter == splitter)
        closeHeldAttempt();
}

void ForwardedRequest::handleHeldEnd()
{
    if (!held_->splitter || !held_->splitter->mayEnd(endsWithConnection(*held_->head)) || events_.count() == 0) {
        closeHeldAttempt();
        return;
    }
    resumeHeldAttempt();
    handleEnd();
}

void ForwardedRequest::send()
{
    if (isCrashCheckPending_ || !isAdmittedByQuarantine())
        return;
    // Only a request that can still meet its target latency is queued at a server without a free slot.
    ServerSelection selection = context_.selector.select(serverSelectionRequest(tried_, !willBeLate()));
    if (selection.kind == SelectionKind::RateLimited && executions_ == 0 && !timing_->mayWaitFor(context_.clock.now(), *selection.retryAfter)) {
        // Callers that are refused during a pause are told different times after its end, so that they do not return at once.
        Duration spread = selection.isPause ? *selection.retryAfter * static_cast<int>(number_ % retryAfterSteps) / (4 * retryAfterSteps) : Duration::zero();
        retryAfter_ = std::max(context_.settings.retryAfter, std::chrono::duration_cast<std::chrono::milliseconds>(*selection.retryAfter + spread));
        giveUp(selection.isPause ? "servers have asked for a pause" : "servers have reached their rate limits");
        return;
    }
    if (selection.kind == SelectionKind::Excluded && executions_ == 0 && (!selection.retryAfter || !timing_->mayWaitFor(context_.clock.now(), *selection.retryAfter))) {
        if (selection.retryAfter)
            retryAfter_ = std::max(context_.settings.retryAfter, std::chrono::duration_cast<std::chrono::milliseconds>(*selection.retryAfter));
        giveUp("rule " + std::string(selection.excludingRule) + " excludes all servers");
        return;
    }
    if (selection.kind != SelectionKind::Server) {
        waitOrRefuse();
        return;
    }
    if (!isFirstSend_ && !context_.retryBudget.trySpend(options_.service)) {
        if (executions_ == 0)
            waitOrRefuse();
        else
            giveUp("retry budget is spent");
        return;
    }
    sendTo(*selection.server);
}

// Returns whether the request may be sent now. Refuses it, or lets it wait to become a probe, if it has a suspect part.
bool ForwardedRequest::isAdmittedByQuarantine()
{
    QuarantineVerdict verdict = promptGuard_.admit();
    if (verdict.decision == QuarantineDecision::Send)
        return true;
    if (verdict.decision == QuarantineDecision::Wait) {
        waitOrRefuse();
        return false;
    }
    ++context_.counters.quarantined;
    retryAfter_ = std::chrono::duration_cast<std::chrono::milliseconds>(verdict.retryAfter);
    giveUp(quarantinedPrompt);
    return false;
}

void ForwardedRequest::waitOrRefuse()
{
    state_ = State::Waiting;
    bool isNewStream = options_.route->kind == RequestKind::Streaming && executions_ == 0;
    std::optional<StreamWait> wait;
    if (isNewStream && context_.streamWait)
        wait = context_.streamWait(serverSelectionRequest(tried_, false), timing_->streamWaitLimits(context_.clock.now()), number_);
    bool hadRecentOutage = context_.selector.hadRecentOutage(options_.service);
    if (wait && !hadRecentOutage)
        retryAfter_ = wait->retryAfter;
    if (wait && wait->mayWait)
        return;
    WaitingState waiting { executions_ > 0, promptGuard_.isProbe(), context_.selector.isUnavailable(options_.service), hadRecentOutage, willBeLate() };
    if (!timing_->mayWait(context_.clock.now(), waiting))
        giveUp("no server is free");
}

void ForwardedRequest::sendTo(const ServerRecord& server)
{
    server_ = server;
    state_ = State::Connecting;
    std::uint32_t attempt = ++lastAttempt_;
    attempt_ = attempt;
    context_.loads.started(server.id);
    context_.rateLimits.recordSend(server.id);
    context_.selector.recordSend(server, serverSelectionRequest(tried_, true));
    std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    bool mayReuse = staleConnections_ == 0;
    context_.pool.acquire(server.id, server.address, requestId_, mayReuse, [weak, attempt, serverId = server.id, &pool = context_.pool](std::shared_ptr<UpstreamConnection> connection, bool isReused) {
        std::shared_ptr<ForwardedRequest> request = weak.lock();
        if (request && request->attempt_ == attempt && request->state_ == State::Connecting)
            request->connected(attempt, std::move(connection), isReused);
        else if (connection)
            pool.release(serverId, std::move(connection));
    });
}

void ForwardedRequest::connected(std::uint32_t attempt, std::shared_ptr<UpstreamConnection> connection, bool isReused)
{
    // The server may have asked for a pause, or a rule may exclude it, since the connection was opened.
    bool isStillAllowed = connection && !context_.selector.isPaused(*server_) && !context_.selector.isExcludedByNow(*server_, serverSelectionRequest(tried_, true));
    if (connection && !isStillAllowed) {
        connection_ = std::move(connection);
        releaseServer();
        if (held_) {
            resumeHeldAttempt();
            return;
        }
        state_ = State::Waiting;
        send();
        return;
    }
    if (!connection) {
        endAttempt(AttemptFailure::NotConnected, "connection failed");
        return;
    }
    connection_ = std::move(connection);
    isReusedConnection_ = isReused;
    state_ = State::Sent;
    sentAt_ = context_.clock.now();
    progressAt_ = sentAt_;
    if (isFirstSend_)
        firstSentAt_ = sentAt_;
    else
        ++context_.counters.repeatedSends;
    isFirstSend_ = false;
    ++sends_;
    attemptBegunAt_.reset();
    hasSurvivedStart_ = false;
    refusalBytes_ = 0;
    head_.reset();
    isRefusal_ = false;
    std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    auto guarded = [weak, attempt](auto step, auto stepIfHeld) {
        std::shared_ptr<ForwardedRequest> request = weak.lock();
        if (!request || request->state_ == State::Done)
            return;
        if (request->attempt_ == attempt)
            step(*request);
        else if (request->isHeld(attempt))
            stepIfHeld(*request);
    };
    UpstreamHandlers handlers;
    handlers.onHead = [guarded](const HttpResponse& head) {
        guarded([&head](ForwardedRequest& request) { request.handleHead(head); }, [&head](ForwardedRequest& request) { request.handleHeldHead(head); });
    };
    handlers.mayLackId = [&names = context_.names](const HttpResponse& head) { return isMarkedNotExecuted(head, names); };
    handlers.onSkipped = [&counters = context_.counters] { ++counters.foreignResponses; };
    handlers.onBody = [guarded](std::string_view body) {
        guarded([body](ForwardedRequest& request) { request.handleBody(body); }, [body](ForwardedRequest& request) { request.handleHeldBody(body); });
    };
    handlers.onEnd = [guarded] {
        guarded([](ForwardedRequest& request) { request.handleEnd(); }, [](ForwardedRequest& request) { request.handleHeldEnd(); });
    };
    handlers.onFailure = [guarded] {
        auto endCurrent = [](ForwardedRequest& request) {
            bool wasRefusal = request.head_ && request.isRefusal_;
            request.endAttempt(wasRefusal ? AttemptFailure::Refused : AttemptFailure::Unknown, brokenConnection);
        };
        guarded(endCurrent, [](ForwardedRequest& request) { request.handleHeldFailure(); });
    };
    connection_->exchange({ requestId_, serializeRequest() }, std::move(handlers));
}

std::string ForwardedRequest::serializeRequest() const
{
    UpstreamHeaderValues values;
    values.serverId = server_->id;
    values.customer = options_.customer;
    values.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(timing_->expiresAt() - context_.clock.now());
    if (options_.route->kind == RequestKind::Streaming)
        values.urgency = isStreamStarted() ? 0 : std::clamp(static_cast<int>(options_.priority), 0, lowestUrgency);
    if (isStreamStarted())
        values.lastEventId = lastEventId_;
    return serializeUpstreamRequest(exchange_->request(), context_.names, values);
}

void ForwardedRequest::handleHead(const HttpResponse& head)
{
    progressAt_ = context_.clock.now();
    head_ = head;
    isRefusal_ = isMarkedNotExecuted(head, context_.names);
    recordServerStatements(context_, { *server_, head, requestId_, sentAt_, isRefusal_ });
    bool isSuccessful = isSuccess(head.status) && !isRefusal_;
    if (isSuccessful && !isAuthentic(head, context_.names)) {
        ++context_.counters.rejectedResponses;
        endAttempt(AttemptFailure::Unknown, "response lacks its signature");
        return;
    }
    if (options_.route->kind == RequestKind::Streaming && isSuccessful) {
        state_ = State::Streaming;
        splitter_ = std::make_shared<EventSplitter>([this, attempt = attempt_](const RawEvent& event) { handleEvent(attempt, event); });
        return;
    }
    state_ = State::Buffering;
}

void ForwardedRequest::handleBody(std::string_view body)
{
    if (state_ == State::Streaming) {
        std::shared_ptr<EventSplitter> splitter = splitter_;
        if (!splitter->feed(body) && splitter == splitter_ && state_ == State::Streaming)
            endAttempt(AttemptFailure::Unknown, "event is too large");
        return;
    }
    if (!head_)
        return;
    if (isRefusal_) {
        refusalBytes_ += body.size();
        if (refusalBytes_ > context_.settings.maxRefusalBytes)
            endAttempt(AttemptFailure::Refused, "server refused");
        return;
    }
    bool isTooLarge = head_->body.size() + body.size() > context_.settings.maxResponseBytes;
    if (isTooLarge || !context_.responseBuffers.reserve(body.size())) {
        endAttempt(AttemptFailure::Unknown, "response is too large");
        return;
    }
    bufferedBytes_ += body.size();
    head_->body.append(body);
}

void ForwardedRequest::handleEvent(std::uint32_t attempt, const RawEvent& event)
{
    if (state_ != State::Done && isHeld(attempt))
        resumeHeldAttempt();
    if (state_ != State::Streaming || attempt != attempt_ || isCallerDisconnected_)
        return;
    progressAt_ = context_.clock.now();
    if (!attemptBegunAt_) {
        attemptBegunAt_ = progressAt_;
        context_.selector.recordFirstEvent(*server_, serverSelectionRequest(tried_, true));
    }
    if (progressAt_ - *attemptBegunAt_ >= context_.settings.crashExposure)
        recordSurvival();
    context_.selector.recordProgress(options_.service, server_->id);
    if (event.id && lastEventId_ && *event.id <= *lastEventId_)
        return;
    if (held_) {
        if (isStreamStarted())
            ++context_.counters.resumedStreams;
        closeHeldAttempt();
    }
    if (!streamStarted_) {
        streamStarted_ = true;
        context_.responseTimes.record(options_.service, progressAt_ - sentAt_);
        HttpResponse head;
        head.status = head_->status;
        head.headers = callerHeaders(*head_, context_.names);
        exchange_->beginStream(std::move(head));
        context_.outliers.callSucceeded(server_->id, progressAt_ - sentAt_);
        context_.selector.recordSuccess(server_->id);
    }
    if (event.id)
        lastEventId_ = event.id;
    recordEvent();
    ++context_.counters.events;
    exchange_->write(event.bytes);
    if (exchange_->pendingBytes() > context_.settings.maxPendingBytes)
        giveUp("caller does not read");
}

void ForwardedRequest::recordSurvival()
{
    if (!hasSurvivedStart_)
        promptGuard_.recordResponse();
    hasSurvivedStart_ = true;
}

void ForwardedRequest::recordEvent()
{
    bool isSameAttempt = events_.count() > 0 && attemptBegunAt_ && events_.lastAt() >= *attemptBegunAt_;
    Duration pause = events_.record(progressAt_);
    if (isSameAttempt && context_.onEventPause)
        context_.onEventPause(*server_, pause);
}

// Returns whether the response would probably begin after its target latency if the request were sent now.
bool ForwardedRequest::willBeLate() const
{
    return timing_->willBeLate(context_.clock.now(), context_.responseTimes.expected(options_.service));
}

// Returns whether the part of the response that has arrived missed a target of the route.
bool ForwardedRequest::isLate() const
{
    const Route& route = *options_.route;
    if (route.kind != RequestKind::Streaming)
        return context_.clock.now() - timing_->arrivedAt() > route.targetLatency;
    bool hasLongPause = route.targetGap > std::chrono::milliseconds::zero() && events_.longestPause() > route.targetGap;
    return events_.count() == 0 || events_.firstAt() - timing_->arrivedAt() > route.targetLatency || hasLongPause;
}

void ForwardedRequest::handleEnd()
{
    if (isRefusal_) {
        endAttempt(AttemptFailure::Refused, "server refused");
        return;
    }
    if (state_ == State::Streaming) {
        handleStreamEnd();
        return;
    }
    if (head_->status >= firstServerFailureStatus || impliesNotExecuted(head_->status)) {
        endAttempt(AttemptFailure::ServerFailure, "server failed");
        return;
    }
    deliverResponse();
}

void ForwardedRequest::handleStreamEnd()
{
    std::shared_ptr<EventSplitter> splitter = splitter_;
    bool mayEnd = splitter->mayEnd(endsWithConnection(*head_));
    // The end may complete an event, with which the request may end.
    std::string rest = mayEnd ? splitter->finish() : "";
    if (state_ != State::Streaming || splitter != splitter_)
        return;
    if (!mayEnd || events_.count() == 0) {
        endAttempt(AttemptFailure::Unknown, incompleteStream);
        return;
    }
    if (!isCallerDisconnected_ && !rest.empty())
        exchange_->write(rest);
    finishStream();
}

void ForwardedRequest::endAttempt(AttemptFailure failure, std::string_view reason)
{
    std::shared_ptr<ForwardedRequest> self = shared_from_this();
    ServerRecord server = *server_;
    PromptExposure exposure = currentExposure();
    const std::string& serverId = server.id;
    lastReason_ = std::string(reason);
    LogLine line("attemptEnded");
    line.add("request", requestId_).add("server", serverId).add("reason", reason).add("attempt", attempt_);
    line.add("executed", failure == AttemptFailure::NotConnected || failure == AttemptFailure::Refused ? "no" : "unknown");
    line.add("status", head_ ? head_->status : 0).add("events", events_.count()).add("reusedConnection", isReusedConnection_);
    line.add("elapsedMs", milliseconds(context_.clock.now() - timing_->arrivedAt()));
    promptGuard_.addTo(line, attemptBegunAt_.has_value());
    context_.log.write(line);
    switch (failure) {
    case AttemptFailure::NotConnected:
        ++failedConnections_;
        context_.crashDetector.connectionFailed(serverId);
        context_.outliers.callFailed(serverId);
        context_.selector.avoid(serverId, context_.clock.now() + context_.settings.unreachableBackoff);
        break;
    case AttemptFailure::Refused:
        recordRefusal(serverId);
        break;
    case AttemptFailure::Unknown:
        ++executions_;
        recordBrokenConnection(serverId);
        break;
    case AttemptFailure::ServerFailure:
        ++executions_;
        serverFailure_ = std::move(head_);
        break;
    }
    if (failure == AttemptFailure::Unknown)
        closeConnection();
    releaseServer();
    tried_.push_back(serverId);
    splitter_.reset();
    head_.reset();
    if (held_) {
        if (failure == AttemptFailure::Unknown && reason == brokenConnection)
            promptGuard_.recordPossibleCrash(server, exposure);
        resumeHeldAttempt();
        return;
    }
    bool hasConnectionEnded = failure == AttemptFailure::Unknown && (reason == brokenConnection || reason == incompleteStream);
    if (hasConnectionEnded && promptGuard_.mayHaveCrashed(exposure)) {
        checkForCrash(server, exposure);
        return;
    }
    if (hasConnectionEnded)
        promptGuard_.recordBrokenConnection(server);
    retryOrGiveUp(failure);
}

PromptExposure ForwardedRequest::currentExposure() const
{
    return { sentAt_, hasSurvivedStart_, state_ == State::Streaming && !attemptBegunAt_ };
}

// The request waits for the result, so that a prompt that crashes servers is not sent to the next one.
void ForwardedRequest::checkForCrash(const ServerRecord& server, const PromptExposure& exposure)
{
    state_ = State::Waiting;
    isCrashCheckPending_ = true;
    std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    promptGuard_.checkForCrash(server, exposure, [weak] {
        std::shared_ptr<ForwardedRequest> request = weak.lock();
        if (!request || request->state_ != State::Waiting)
            return;
        request->isCrashCheckPending_ = false;
        request->retryOrGiveUp(AttemptFailure::Unknown);
    });
}

void ForwardedRequest::retryOrGiveUp(AttemptFailure failure)
{
    std::shared_ptr<ForwardedRequest> self = shared_from_this();
    if (isCallerDisconnected_) {
        finish("callerLeft", ResultCode::Cancelled, lastReason_);
        return;
    }
    // A request whose prompt may have crashed a server is not repeated. Later ones show whether it did.
    bool isSuspect = executions_ > 0 && promptGuard_.isSuspect();
    if (isSuspect || !canRetry(failure)) {
        giveUp(isSuspect ? quarantinedPrompt : std::string_view(lastReason_));
        return;
    }
    if (isStreamStarted())
        ++context_.counters.resumedStreams;
    // The next attempt may wait for a free server, even if the failed one did not have to.
    state_ = State::Waiting;
    send();
}

void ForwardedRequest::recordRefusal(const std::string& serverId)
{
    bool isMisdirected = head_ && head_->status == statusMisdirected;
    if (!isMisdirected)
        context_.selector.recordRefusal(options_.service, serverId);
    Duration backoff = isMisdirected ? context_.settings.misdirectedBackoff : context_.settings.refusalBackoff;
    context_.selector.avoid(serverId, context_.clock.now() + backoff);
}

// A reused connection that breaks before any response was most likely closed by the server while it was idle.
// This is no failure of the server, but its other idle connections may be equally stale, so they are closed.
void ForwardedRequest::recordBrokenConnection(const std::string& serverId)
{
    bool isStale = isReusedConnection_ && !head_ && lastReason_ == brokenConnection;
    if (!isStale) {
        context_.outliers.callFailed(serverId);
        return;
    }
    ++staleConnections_;
    context_.pool.closeIdleConnections(serverId);
}

bool ForwardedRequest::canRetry(AttemptFailure failure)
{
    const Route& route = *options_.route;
    if (failure == AttemptFailure::NotConnected)
        return failedConnections_ < context_.settings.maxFailedConnections && (executions_ == 0 || route.isRetryable());
    if (failure == AttemptFailure::Refused && executions_ == 0)
        return sends_ < route.maxAttempts + context_.settings.maxRefusals;
    // One send on a stale connection is not counted, since it almost never reaches the server.
    std::uint32_t counted = executions_ - std::min(staleConnections_, 1U);
    if (!route.isRetryable() || counted >= route.maxAttempts || sends_ >= route.maxAttempts + context_.settings.maxRefusals)
        return false;
    // A stream that has started can only be resumed after a known event id.
    return !isStreamStarted() || lastEventId_.has_value();
}

void ForwardedRequest::closeConnection()
{
    if (connection_)
        connection_->close();
    connection_ = nullptr;
}

// Returns the connection to the pool and stops counting the request as in flight at its server.
void ForwardedRequest::releaseServer()
{
    if (!server_)
        return;
    if (connection_)
        context_.pool.release(server_->id, std::move(connection_));
    connection_ = nullptr;
    context_.loads.finished(server_->id);
    context_.selector.recordEnd(*server_, serverSelectionRequest(tried_, true));
    server_.reset();
}

void ForwardedRequest::deliverResponse()
{
    // A server may reject a request without having begun to answer its prompt.
    if (isSuccess(head_->status))
        recordSurvival();
    context_.responseTimes.record(options_.service, context_.clock.now() - sentAt_);
    context_.outliers.callSucceeded(server_->id, context_.clock.now() - sentAt_);
    context_.selector.recordSuccess(server_->id);
    context_.selector.recordProgress(options_.service, server_->id);
    if (isSuccess(head_->status))
        context_.selector.recordFirstEvent(*server_, serverSelectionRequest(tried_, true));
    ++context_.counters.succeeded;
    HttpResponse response;
    response.status = head_->status;
    response.headers = callerHeaders(*head_, context_.names);
    response.body = std::move(head_->body);
    if (!isCallerDisconnected_)
        exchange_->respond(std::move(response));
    finish("answered", ResultCode::Ok, "");
}

void ForwardedRequest::finishStream()
{
    recordSurvival();
    ++context_.counters.succeeded;
    if (!isCallerDisconnected_)
        exchange_->endStream();
    finish("answered", ResultCode::Ok, "");
}

void ForwardedRequest::giveUp(std::string_view reason)
{
    bool mayHaveRun = executions_ > 0 || (isRunning() && !isRefusal_);
    recordAbandonment();
    if (isRunning()) {
        // A non-idempotent request may be partly executed. Only the connection is closed; the server may still
        // finish the request.
        closeConnection();
    }
    closeHeldAttempt();
    if (isStreamStarted()) {
        ++context_.counters.cutStreams;
        // The close below is not a disconnect by the caller, so it must not be handled as one.
        exchange_->setCloseHandler(nullptr);
        exchange_->abort();
        finish("streamCut", ResultCode::StreamInterrupted, reason);
        return;
    }
    if (!mayHaveRun) {
        respondRefusal(reason);
        return;
    }
    ++context_.counters.failed;
    if (serverFailure_ && !impliesNotExecuted(serverFailure_->status)) {
        ++context_.counters.serverFailures;
        HttpResponse response;
        response.status = serverFailure_->status;
        response.headers = callerHeaders(*serverFailure_, context_.names);
        response.body = std::move(serverFailure_->body);
        exchange_->respond(std::move(response));
        finish("serverFailure", ResultCode::BackendServerFailed, reason);
        return;
    }
    bool hasTimedOut = timing_->hasTimedOut(context_.clock.now());
    ResultCode code = hasTimedOut ? ResultCode::Timeout : ResultCode::OutcomeUnknown;
    exchange_->respond(makeFailureResponse(context_.names, requestId_, { hasTimedOut ? statusTimeout : statusBadGateway, code, Executed::Unknown, reason, std::nullopt }));
    finish("failed", code, reason);
}

void ForwardedRequest::respondRefusal(std::string_view reason)
{
    ++context_.counters.refused;
    ResultCode code = reason == quarantinedPrompt ? ResultCode::PromptQuarantined : ResultCode::Overloaded;
    std::chrono::milliseconds retryAfter = retryAfter_.value_or(context_.settings.retryAfter);
    exchange_->respond(makeFailureResponse(context_.names, requestId_, { statusUnavailable, code, Executed::No, reason, retryAfter }));
    finish("refused", code, reason);
}

void ForwardedRequest::handleCallerDisconnect()
{
    if (state_ == State::Done)
        return;
    std::shared_ptr<ForwardedRequest> self = shared_from_this();
    ++context_.counters.cancelled;
    isCallerDisconnected_ = true;
    // A non-idempotent request continues, since cancelling it would leave its effects unknown.
    if (isRunning() && options_.route->kind == RequestKind::NonIdempotent)
        return;
    recordAbandonment();
    closeConnection();
    finish("callerLeft", ResultCode::Cancelled, "");
}

void ForwardedRequest::recordAbandonment()
{
    if (isRunning() && !isRefusal_)
        promptGuard_.recordAbandonment(server_->id, currentExposure());
    if (held_)
        promptGuard_.recordAbandonment(held_->server.id, held_->exposure());
}

void ForwardedRequest::finish(std::string_view outcome, ResultCode code, std::string_view reason)
{
    bool isPlain = code == ResultCode::Ok && sends_ == 1 && !isLate();
    if (code == ResultCode::Ok && isLate())
        ++context_.counters.late;
    if (!isPlain || context_.log.shouldSampleSuccess()) {
        LogLine line("requestEnded");
        line.add("request", requestId_).add("outcome", outcome).add("code", resultNumber(code)).add("reason", reason);
        line.add("route", options_.route->name).add("customer", options_.customer).add("service", options_.service);
        line.add("callerAgeMs", timing_->callerAge().count()).add("catalog", options_.catalog->version()).add("sends", sends_).add("executions", executions_).add("events", events_.count());
        line.add("server", server_ ? server_->id : (tried_.empty() ? "" : tried_.back()));
        TimePoint arrivedAt = timing_->arrivedAt();
        if (!isFirstSend_)
            line.add("waitedMs", milliseconds(firstSentAt_ - arrivedAt));
        if (events_.count() > 0) {
            line.add("firstEventMs", milliseconds(events_.firstAt() - arrivedAt)).add("longestPauseMs", milliseconds(events_.longestPause()));
            line.add("pauseEndedMs", events_.longestPause() > Duration::zero() ? milliseconds(events_.longestPauseEndedAt() - arrivedAt) : 0);
        }
        line.add("elapsedMs", milliseconds(context_.clock.now() - arrivedAt));
        context_.log.write(line);
    }
    releaseServer();
    closeHeldAttempt();
    promptGuard_.release();
    state_ = State::Done;
    // Makes pending callbacks ineffective.
    attempt_ = ++lastAttempt_;
    exchange_->setCloseHandler(nullptr);
    onDone_(this);
}

}

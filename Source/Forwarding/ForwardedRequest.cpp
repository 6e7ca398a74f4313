#include "Forwarding/ForwardedRequest.h"

#include "Forwarding/MessageHeaders.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr int statusMisdirected = 421;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;
constexpr int firstFailureStatus = 300;
constexpr int firstServerFailureStatus = 500;
constexpr int lowestUrgency = 9;
constexpr std::string_view brokenConnection = "connection broke";

// These statuses tell a caller that the request was not executed, which only a marked refusal proves.
bool promisesNoExecution(int status)
{
    return status == 408 || status == statusMisdirected || status == 429 || status == statusUnavailable;
}

std::optional<std::chrono::milliseconds> parseMilliseconds(const std::optional<std::string>& text)
{
    if (!text)
        return std::nullopt;
    std::int64_t value = 0;
    std::from_chars_result result = std::from_chars(text->data(), text->data() + text->size(), value);
    if (result.ec != std::errc() || value < 0)
        return std::nullopt;
    return std::chrono::milliseconds(value);
}

std::string secondsText(std::chrono::milliseconds time)
{
    std::string text = std::to_string(time.count() / 1000) + ".";
    std::string fraction = std::to_string(time.count() % 1000);
    return text + std::string(3 - fraction.size(), '0') + fraction;
}

std::int64_t milliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}

ForwardedRequest::ForwardedRequest(
    ForwardingContext& context, std::shared_ptr<HttpExchange> exchange, RequestTerms terms, std::function<void(ForwardedRequest*)> onDone)
    : context_(context)
    , exchange_(std::move(exchange))
    , terms_(std::move(terms))
    , onDone_(std::move(onDone))
    , arrivedAt_(context.clock.now())
{
    const std::vector<HttpHeader>& headers = exchange_->request().headers;
    requestId_ = findHeader(headers, context_.names.requestId).value_or("");
    limit_ = arrivedAt_ + terms_.route->timeout;
    isLimitOfRoute_ = true;
    std::optional<std::chrono::milliseconds> deadline = parseMilliseconds(findHeader(headers, context_.names.deadline));
    if (deadline && *deadline <= terms_.route->timeout) {
        limit_ = arrivedAt_ + *deadline;
        isLimitOfRoute_ = false;
    }
    if (deadline)
        callerAge_ = context_.callerAges.observe(terms_.route->name, *deadline);
    targetAt_ = arrivedAt_ + terms_.route->targetLatency - callerAge_;
    bool isStream = terms_.route->kind == RequestKind::Streaming;
    Duration maxWait = std::chrono::duration_cast<Duration>((limit_ - arrivedAt_) * context_.settings.maxWait);
    waitUntil_ = arrivedAt_ + (isStream ? std::min<Duration>(context_.settings.maxStreamWait, limit_ - arrivedAt_) : maxWait);
}

ForwardedRequest::~ForwardedRequest()
{
    if (connection_)
        connection_->close();
}

void ForwardedRequest::start()
{
    ++context_.counters.requests;
    context_.allowance.addRequest(terms_.service);
    std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    exchange_->setCloseHandler([weak] {
        if (std::shared_ptr<ForwardedRequest> request = weak.lock())
            request->callerLeft();
    });
    send();
}

void ForwardedRequest::tick()
{
    TimePoint now = context_.clock.now();
    std::shared_ptr<ForwardedRequest> self = shared_from_this();
    if (state_ == State::Done)
        return;
    TimePoint answerAt = isLimitOfRoute_ ? limit_ : limit_ - context_.settings.deadlineMargin;
    if (now >= answerAt) {
        ++context_.counters.timedOut;
        giveUp(isLimitOfRoute_ ? "route timeout" : "deadline");
        return;
    }
    if (state_ == State::Waiting) {
        send();
        return;
    }
    bool isUnaryRepeatable = terms_.route->kind == RequestKind::Idempotent;
    bool canMove = executions_ + 1 < terms_.route->maxAttempts;
    if (state_ == State::Sent && isUnaryRepeatable && canMove && now - sentAt_ > context_.settings.unarySilence) {
        endAttempt(AttemptEnd::Unknown, "server is silent");
        return;
    }
    if (state_ == State::Streaming && terms_.route->mayRepeat() && now - progressAt_ > context_.settings.streamSilence
        && context_.chooser.hasProgressElsewhere(terms_.service, server_->id, progressAt_ + context_.settings.streamSilence / 2)) {
        endAttempt(AttemptEnd::Unknown, "stream is silent");
    }
}

void ForwardedRequest::send()
{
    // Only a request that can be on time waits at a server for a slot.
    ServerChoice choice = context_.chooser.choose(terms_.service, tried_, !isBoundToBeLate());
    if (choice.kind != ChoiceKind::Server) {
        waitOrRefuse();
        return;
    }
    if (!isFirstSend_ && !context_.allowance.trySpend(terms_.service)) {
        if (executions_ == 0)
            waitOrRefuse();
        else
            giveUp("retry budget is spent");
        return;
    }
    sendTo(*choice.server);
}

void ForwardedRequest::waitOrRefuse()
{
    state_ = State::Waiting;
    TimePoint until = executions_ > 0 ? limit_ : waitUntil_;
    if (executions_ == 0 && context_.chooser.isOutOfOrder(terms_.service))
        until = std::max(until, std::min(arrivedAt_ + context_.settings.maxOutageWait, limit_ - context_.settings.deadlineMargin));
    bool isOverdue = terms_.route->kind == RequestKind::Streaming && executions_ == 0 && isBoundToBeLate()
        && context_.clock.now() >= arrivedAt_ + context_.settings.maxLateWait;
    if (context_.clock.now() >= until || (isOverdue && !context_.chooser.hasBacklog(terms_.service)))
        giveUp("no server is free");
}

void ForwardedRequest::sendTo(const ServerRecord& server)
{
    server_ = server;
    state_ = State::Connecting;
    std::uint32_t attempt = ++attempt_;
    context_.loads.started(server.id);
    std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    bool mayReuse = staleConnections_ == 0;
    context_.pool.acquire(server.id, server.address, mayReuse, [weak, attempt, serverId = server.id, &pool = context_.pool](std::shared_ptr<UpstreamConnection> connection, bool isReused) {
        std::shared_ptr<ForwardedRequest> request = weak.lock();
        if (request && request->attempt_ == attempt && request->state_ == State::Connecting)
            request->connected(attempt, std::move(connection), isReused);
        else if (connection)
            pool.release(serverId, std::move(connection));
    });
}

void ForwardedRequest::connected(std::uint32_t attempt, std::shared_ptr<UpstreamConnection> connection, bool isReused)
{
    if (!connection) {
        endAttempt(AttemptEnd::NotConnected, "connection failed");
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
    head_.reset();
    isRefusal_ = false;
    std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    auto guarded = [weak, attempt](auto step) {
        std::shared_ptr<ForwardedRequest> request = weak.lock();
        if (request && request->attempt_ == attempt && request->state_ != State::Done)
            step(*request);
    };
    UpstreamHandlers handlers;
    handlers.onHead = [guarded](const HttpResponse& head) {
        bool isOwn = true;
        guarded([&](ForwardedRequest& request) { isOwn = request.takeHead(head); });
        return isOwn;
    };
    handlers.onBody = [guarded](std::string_view body) { guarded([body](ForwardedRequest& request) { request.takeBody(body); }); };
    handlers.onEnd = [guarded] { guarded([](ForwardedRequest& request) { request.takeEnd(); }); };
    handlers.onFailure = [guarded] {
        guarded([](ForwardedRequest& request) {
            bool wasRefusal = request.head_ && request.isRefusal_;
            request.endAttempt(wasRefusal ? AttemptEnd::Refused : AttemptEnd::Unknown, brokenConnection);
        });
    };
    connection_->exchange(requestBytes(), std::move(handlers));
}

std::string ForwardedRequest::requestBytes() const
{
    UpstreamIdentity identity;
    identity.serverId = server_->id;
    identity.customer = terms_.customer;
    identity.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(limit_ - context_.clock.now());
    if (terms_.route->kind == RequestKind::Streaming)
        identity.urgency = isStreamStarted() ? 0 : std::clamp(static_cast<int>(terms_.priority), 0, lowestUrgency);
    if (isStreamStarted())
        identity.lastEventId = lastEventId_;
    return serializeUpstreamRequest(exchange_->request(), context_.names, identity);
}

// Returns false if the response belongs to another request.
bool ForwardedRequest::takeHead(const HttpResponse& head)
{
    progressAt_ = context_.clock.now();
    bool isMarked = findHeader(head.headers, context_.names.notExecuted).has_value() || head.status == statusMisdirected;
    std::optional<std::string> id = findHeader(head.headers, context_.names.requestId);
    if (id ? *id != requestId_ : !isMarked) {
        ++context_.counters.foreignResponses;
        return false;
    }
    head_ = head;
    isRefusal_ = isMarked;
    bool isSuccess = head.status < firstFailureStatus;
    if (!isRefusal_ && isSuccess && !isResponseOwn(head)) {
        ++context_.counters.rejectedResponses;
        endAttempt(AttemptEnd::Unknown, "response lacks its signature");
        return true;
    }
    if (terms_.route->kind == RequestKind::Streaming && isSuccess && !isRefusal_) {
        state_ = State::Streaming;
        splitter_.emplace([this](const RawEvent& event) { takeEvent(event); });
        return true;
    }
    state_ = State::Buffering;
    return true;
}

// Checks a success for the proof that the server made it, and that nothing has encoded its body.
bool ForwardedRequest::isResponseOwn(const HttpResponse& head) const
{
    std::optional<std::string> signature = findHeader(head.headers, context_.names.signature);
    return signature && !signature->empty() && !findHeader(head.headers, "Content-Encoding");
}

void ForwardedRequest::takeBody(std::string_view body)
{
    if (state_ == State::Streaming) {
        if (!splitter_->feed(body))
            endAttempt(AttemptEnd::Unknown, "event is too large");
        return;
    }
    if (!head_)
        return;
    head_->body.append(body);
    if (head_->body.size() > context_.settings.maxResponseBytes)
        endAttempt(AttemptEnd::Unknown, "response is too large");
}

void ForwardedRequest::takeEvent(const RawEvent& event)
{
    if (state_ != State::Streaming || isCallerGone_)
        return;
    progressAt_ = context_.clock.now();
    context_.chooser.noteProgress(terms_.service, server_->id);
    if (event.id && lastEventId_ && *event.id <= *lastEventId_)
        return;
    if (!streamStarted_) {
        streamStarted_ = true;
        context_.responseTimes.note(terms_.service, progressAt_ - sentAt_);
        HttpResponse head;
        head.status = head_->status;
        head.headers = callerHeaders(*head_, context_.names);
        exchange_->beginStream(std::move(head));
        context_.outliers.callSucceeded(server_->id, progressAt_ - sentAt_);
        context_.chooser.noteHealthy(server_->id);
    }
    if (event.id)
        lastEventId_ = event.id;
    notePause();
    ++events_;
    ++context_.counters.events;
    exchange_->write(event.bytes);
}

void ForwardedRequest::notePause()
{
    if (events_ == 0) {
        firstEventAt_ = progressAt_;
    } else if (progressAt_ - lastEventAt_ > longestPause_) {
        longestPause_ = progressAt_ - lastEventAt_;
        longestPauseAt_ = progressAt_;
    }
    lastEventAt_ = progressAt_;
}

// Says whether a response to a send at this moment would begin after its target.
bool ForwardedRequest::isBoundToBeLate() const
{
    Duration most = std::chrono::duration_cast<Duration>(terms_.route->targetLatency * context_.settings.maxExpectedShare);
    return context_.clock.now() + std::min(most, context_.responseTimes.expected(terms_.service)) > targetAt_;
}

// Says whether the response, as far as it has come, missed a target of its route.
bool ForwardedRequest::isLate() const
{
    const Route& route = *terms_.route;
    if (route.kind != RequestKind::Streaming)
        return context_.clock.now() - arrivedAt_ > route.targetLatency;
    bool isPaused = route.targetGap > std::chrono::milliseconds::zero() && longestPause_ > route.targetGap;
    return events_ == 0 || firstEventAt_ - arrivedAt_ > route.targetLatency || isPaused;
}

void ForwardedRequest::takeEnd()
{
    if (isRefusal_) {
        endAttempt(AttemptEnd::Refused, "server refused");
        return;
    }
    if (state_ == State::Streaming) {
        if (splitter_->isInsideEvent() || events_ == 0)
            endAttempt(AttemptEnd::Unknown, "stream ended within an event");
        else
            finishStream();
        return;
    }
    if (head_->status >= firstServerFailureStatus || promisesNoExecution(head_->status)) {
        endAttempt(AttemptEnd::ServerFailure, "server failed");
        return;
    }
    deliver();
}

void ForwardedRequest::endAttempt(AttemptEnd end, std::string_view reason)
{
    std::shared_ptr<ForwardedRequest> self = shared_from_this();
    std::string serverId = server_->id;
    lastReason_ = std::string(reason);
    LogLine line("attemptEnded");
    line.add("request", requestId_).add("server", serverId).add("reason", reason).add("attempt", attempt_);
    line.add("executed", end == AttemptEnd::NotConnected || end == AttemptEnd::Refused ? "no" : "unknown");
    line.add("status", head_ ? head_->status : 0).add("events", events_).add("reusedConnection", isReusedConnection_);
    line.add("elapsedMs", milliseconds(context_.clock.now() - arrivedAt_));
    context_.log.write(line);
    switch (end) {
    case AttemptEnd::NotConnected:
        ++failedConnections_;
        context_.outliers.callFailed(serverId);
        context_.chooser.avoid(serverId, context_.clock.now() + context_.settings.unreachablePause);
        break;
    case AttemptEnd::Refused:
        noteRefusal(serverId);
        break;
    case AttemptEnd::Unknown:
        ++executions_;
        noteBrokenConnection(serverId);
        break;
    case AttemptEnd::ServerFailure:
        ++executions_;
        serverFailure_ = std::move(head_);
        break;
    }
    if (end == AttemptEnd::Unknown)
        dropConnection();
    freeServer();
    tried_.push_back(serverId);
    splitter_.reset();
    head_.reset();
    if (isCallerGone_) {
        finish("callerLeft", ResultCode::Cancelled, reason);
        return;
    }
    if (!mayRepeat(end)) {
        giveUp(reason);
        return;
    }
    if (isStreamStarted())
        ++context_.counters.resumedStreams;
    // An attempt that failed early should not shorten the wait for its successor to nothing.
    state_ = State::Waiting;
    send();
}

void ForwardedRequest::noteRefusal(const std::string& serverId)
{
    bool isMisdirected = head_ && head_->status == statusMisdirected;
    if (!isMisdirected)
        context_.chooser.noteRefusal(terms_.service, serverId);
    Duration pause = isMisdirected ? context_.settings.misdirectedPause : context_.settings.refusalPause;
    context_.chooser.avoid(serverId, context_.clock.now() + pause);
}

// A kept connection that breaks before any response was most likely closed while it was idle. This says
// nothing of the server, and its other kept connections may be as old.
void ForwardedRequest::noteBrokenConnection(const std::string& serverId)
{
    bool isStale = isReusedConnection_ && !head_ && lastReason_ == brokenConnection;
    if (!isStale) {
        context_.outliers.callFailed(serverId);
        return;
    }
    ++staleConnections_;
    context_.pool.drop(serverId);
}

bool ForwardedRequest::mayRepeat(AttemptEnd end)
{
    const Route& route = *terms_.route;
    if (end == AttemptEnd::NotConnected)
        return failedConnections_ < context_.settings.maxFailedConnections && (executions_ == 0 || route.mayRepeat());
    if (end == AttemptEnd::Refused && executions_ == 0)
        return sends_ < route.maxAttempts + context_.settings.maxRefusals;
    // One send on a stale connection is not counted, as it reached a server hardly ever.
    std::uint32_t counted = executions_ - std::min(staleConnections_, 1U);
    if (!route.mayRepeat() || counted >= route.maxAttempts || sends_ >= route.maxAttempts + context_.settings.maxRefusals)
        return false;
    // Without ids there is no place to continue a started stream at.
    return !isStreamStarted() || lastEventId_.has_value();
}

void ForwardedRequest::dropConnection()
{
    if (connection_)
        connection_->close();
    connection_ = nullptr;
}

// Gives the connection back and ends the request's count at its server.
void ForwardedRequest::freeServer()
{
    if (!server_)
        return;
    if (connection_)
        context_.pool.release(server_->id, std::move(connection_));
    connection_ = nullptr;
    context_.loads.finished(server_->id);
    server_.reset();
}

void ForwardedRequest::deliver()
{
    context_.responseTimes.note(terms_.service, context_.clock.now() - sentAt_);
    context_.outliers.callSucceeded(server_->id, context_.clock.now() - sentAt_);
    context_.chooser.noteHealthy(server_->id);
    context_.chooser.noteProgress(terms_.service, server_->id);
    ++context_.counters.succeeded;
    HttpResponse response;
    response.status = head_->status;
    response.headers = callerHeaders(*head_, context_.names);
    response.body = std::move(head_->body);
    if (!isCallerGone_)
        exchange_->respond(std::move(response));
    finish("answered", ResultCode::Ok, "");
}

void ForwardedRequest::finishStream()
{
    ++context_.counters.succeeded;
    if (!isCallerGone_)
        exchange_->endStream();
    finish("answered", ResultCode::Ok, "");
}

void ForwardedRequest::giveUp(std::string_view reason)
{
    bool isRunning = state_ == State::Sent || state_ == State::Buffering || state_ == State::Streaming;
    bool mayHaveRun = executions_ > 0 || (isRunning && !isRefusal_);
    if (isRunning) {
        // A non-idempotent request may be half done; the server is left to finish it.
        dropConnection();
    }
    if (isStreamStarted()) {
        ++context_.counters.cutStreams;
        // The caller has not left; the connection is closed here.
        exchange_->setCloseHandler(nullptr);
        exchange_->abort();
        finish("streamCut", ResultCode::StreamInterrupted, reason);
        return;
    }
    if (!mayHaveRun) {
        answerRefusal(reason);
        return;
    }
    ++context_.counters.failed;
    if (serverFailure_ && !promisesNoExecution(serverFailure_->status)) {
        ++context_.counters.serverFailures;
        HttpResponse response;
        response.status = serverFailure_->status;
        response.headers = callerHeaders(*serverFailure_, context_.names);
        response.body = std::move(serverFailure_->body);
        exchange_->respond(std::move(response));
        finish("serverFailure", ResultCode::BackendServerFailed, reason);
        return;
    }
    bool isLate = context_.clock.now() >= limit_ - context_.settings.deadlineMargin;
    respondFailure(isLate ? statusTimeout : statusBadGateway, isLate ? ResultCode::Timeout : ResultCode::OutcomeUnknown, Executed::Unknown, reason);
    finish("failed", isLate ? ResultCode::Timeout : ResultCode::OutcomeUnknown, reason);
}

void ForwardedRequest::answerRefusal(std::string_view reason)
{
    ++context_.counters.refused;
    respondFailure(statusUnavailable, ResultCode::Overloaded, Executed::No, reason);
    finish("refused", ResultCode::Overloaded, reason);
}

void ForwardedRequest::respondFailure(int status, ResultCode code, Executed executed, std::string_view reason)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({ context_.names.requestId, requestId_ });
    if (executed == Executed::No)
        response.headers.push_back({ context_.names.retryAfter, secondsText(context_.settings.retryAfter) });
    response.headers.push_back({ "Content-Type", "application/problem+json" });
    response.body = "{\"code\":" + std::to_string(resultNumber(code)) + ",\"executed\":\"" + std::string(executedName(executed)) + "\",\"detail\":\"" + std::string(reason) + "\"}";
    exchange_->respond(std::move(response));
}

void ForwardedRequest::callerLeft()
{
    if (state_ == State::Done)
        return;
    std::shared_ptr<ForwardedRequest> self = shared_from_this();
    ++context_.counters.cancelled;
    isCallerGone_ = true;
    bool isRunning = state_ == State::Sent || state_ == State::Buffering || state_ == State::Streaming;
    // A non-idempotent request is left to finish, as breaking it off would leave its effects unclear.
    if (isRunning && terms_.route->kind == RequestKind::NonIdempotent)
        return;
    dropConnection();
    finish("callerLeft", ResultCode::Cancelled, "");
}

void ForwardedRequest::finish(std::string_view outcome, ResultCode code, std::string_view reason)
{
    bool isPlain = code == ResultCode::Ok && sends_ == 1 && !isLate();
    if (code == ResultCode::Ok && isLate())
        ++context_.counters.late;
    if (!isPlain || context_.log.shouldSampleSuccess()) {
        LogLine line("requestEnded");
        line.add("request", requestId_).add("outcome", outcome).add("code", resultNumber(code)).add("reason", reason);
        line.add("route", terms_.route->name).add("customer", terms_.customer).add("service", terms_.service);
        line.add("callerAgeMs", milliseconds(callerAge_)).add("catalog", terms_.catalog->version()).add("sends", sends_).add("executions", executions_).add("events", events_);
        line.add("server", server_ ? server_->id : (tried_.empty() ? "" : tried_.back()));
        if (!isFirstSend_)
            line.add("waitedMs", milliseconds(firstSentAt_ - arrivedAt_));
        if (events_ > 0) {
            line.add("firstEventMs", milliseconds(firstEventAt_ - arrivedAt_)).add("longestPauseMs", milliseconds(longestPause_));
            line.add("pauseEndedMs", longestPause_ > Duration::zero() ? milliseconds(longestPauseAt_ - arrivedAt_) : 0);
        }
        line.add("elapsedMs", milliseconds(context_.clock.now() - arrivedAt_));
        context_.log.write(line);
    }
    freeServer();
    state_ = State::Done;
    ++attempt_;
    exchange_->setCloseHandler(nullptr);
    onDone_(this);
}

}

#include "Load/LoadCall.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

constexpr std::size_t maxErrorBytes = 65536;

std::chrono::microseconds asMicroseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration);
}

}

LoadCall::LoadCall(HttpClient& client, const Clock& clock, const LoadOptions& options, const Arrival& arrival,
    TimePoint intendedStart, const std::string& callId, std::size_t entry, Done done)
    : client_(client)
    , clock_(clock)
    , options_(options)
    , arrival_(arrival)
    , intendedStart_(intendedStart)
    , callId_(callId)
    , entry_(entry)
    , done_(std::move(done))
    , parser_([this](const ServerSentEvent& event) { handleEvent(event); })
{
    result_.kind = arrival.kind;
    result_.customer = arrival.customer;
    if (arrival.kind == LoadKind::Booking)
        result_.idempotencyKey = callId;
}

void LoadCall::send()
{
    ++attempts_;
    status_ = 0;
    body_.clear();
    parser_ = EventStreamParser([this](const ServerSentEvent& event) { handleEvent(event); });
    HttpResponseHandlers handlers;
    handlers.onHead = [this](const HttpResponse& head) { handleHead(head); };
    handlers.onBody = [this](std::string_view part) { handleBody(part); };
    handlers.onEnd = [this] { handleEnd(); };
    handlers.onFailure = [this](const HttpFailure& failure) { handleFailure(failure); };
    const Endpoint& entry = options_.entries[entry_ % options_.entries.size()];
    request_ = client_.stream(entry, makeRequest(), std::move(handlers));
}

void LoadCall::endWithTimeout()
{
    request_.reset();
    finishError({ ResultCode::Timeout, Executed::Unknown });
}

HttpRequest LoadCall::makeRequest() const
{
    HttpRequest request;
    request.method = "POST";
    request.headers = {
        { "Content-Type", "application/json" },
        { "X-Customer", arrival_.customer },
        { "X-Request-Id", callId_ },
        { "Request-Deadline-Ms", std::to_string(timeLeft().count()) },
    };
    if (!completion_.lastId().empty())
        request.headers.push_back({ "Last-Event-ID", completion_.lastId() });
    if (!result_.idempotencyKey.empty())
        request.headers.push_back({ "Idempotency-Key", result_.idempotencyKey });
    Json body;
    if (arrival_.kind == LoadKind::Completion) {
        request.target = "/v1/completions";
        body = { { "model", options_.model }, { "prompt", arrival_.prompt }, { "max_tokens", arrival_.tokens }, { "stream", true } };
    } else {
        bool isLookup = arrival_.kind == LoadKind::Lookup;
        const std::string& operation = isLookup ? options_.lookupOperation : options_.bookingOperation;
        request.target = "/v1/services/" + percentEncode(options_.service) + "/" + percentEncode(operation);
        body = { { "subject", arrival_.number } };
    }
    request.body = body.dump();
    return request;
}

// The deadline is relative to the scheduled start, as it is for a caller that has been waiting since then.
std::chrono::milliseconds LoadCall::timeLeft() const
{
    auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - intendedStart_);
    return std::max(options_.deadline - elapsed, std::chrono::milliseconds(1));
}

void LoadCall::handleHead(const HttpResponse& head)
{
    status_ = head.status;
}

void LoadCall::handleBody(std::string_view part)
{
    if (status_ != 200 || arrival_.kind != LoadKind::Completion) {
        body_ += part.substr(0, maxErrorBytes - std::min(maxErrorBytes, body_.size()));
        return;
    }
    try {
        parser_.feed(part);
    } catch (const Error&) {
        result_.isWrong = true;
    }
}

void LoadCall::handleEvent(const ServerSentEvent& event)
{
    if (!completion_.addEvent(event))
        return;
    TimePoint now = clock_.now();
    if (result_.firstToken.count() == 0)
        result_.firstToken = asMicroseconds(now - intendedStart_);
    else
        result_.tokenGaps.push_back(asMicroseconds(now - lastToken_));
    lastToken_ = now;
}

void LoadCall::handleEnd()
{
    if (status_ != 200) {
        finishError(parseReportedError(body_));
        return;
    }
    if (arrival_.kind == LoadKind::Completion) {
        finishStream();
        return;
    }
    result_.code = ResultCode::Ok;
    result_.executed = Executed::Yes;
    result_.isWrong = !Json::accept(body_);
    finish();
}

void LoadCall::handleFailure(const HttpFailure& failure)
{
    wasSent_ = wasSent_ || failure.wasSent;
    if (completion_.isDone() || completion_.hasError()) {
        finishStream();
        return;
    }
    bool canRetry = attempts_ < options_.maxAttempts && failure.code != ResultCode::Timeout && clock_.now() - intendedStart_ < options_.deadline;
    // A completion without an event id restarts from the beginning, which would duplicate text that was already received.
    canRetry = canRetry && (completion_.text().empty() || !completion_.lastId().empty());
    if (canRetry) {
        ++entry_;
        ++result_.retries;
        send();
        return;
    }
    finishError({ failure.code, wasSent_ ? Executed::Unknown : Executed::No });
}

void LoadCall::finishStream()
{
    result_.isWrong = result_.isWrong || completion_.isMalformed();
    if (completion_.hasError()) {
        finishError(completion_.error());
        return;
    }
    if (!completion_.isDone()) {
        result_.endedSilently = true;
        finishError({ ResultCode::StreamInterrupted, Executed::Unknown });
        return;
    }
    if (options_.expectedAnswer)
        result_.isWrong = result_.isWrong || completion_.text() != options_.expectedAnswer(arrival_.prompt, arrival_.tokens);
    result_.code = ResultCode::Ok;
    result_.executed = Executed::Yes;
    finish();
}

void LoadCall::finishError(const ReportedError& error)
{
    result_.code = error.code;
    result_.executed = error.executed;
    finish();
}

// Must be the last step, since the owner releases this call in the callback.
void LoadCall::finish()
{
    result_.total = asMicroseconds(clock_.now() - intendedStart_);
    result_.isOnTime = result_.code == ResultCode::Ok && !result_.isWrong && result_.total <= options_.deadline;
    Done done = std::move(done_);
    LoadResult result = std::move(result_);
    done(result);
}

}

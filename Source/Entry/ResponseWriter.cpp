#include "Entry/ResponseWriter.h"

#include "Entry/ProblemDetails.h"
#include "Transport/EventStreamParser.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

// A connection with more unread bytes than this is aborted. The caller can resume the stream.
constexpr std::size_t maxPendingBytes = 4 * 1024 * 1024;
constexpr const char* streamEnd = "[DONE]";

std::string dump(const Json& json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}

ResponseWriter::ResponseWriter(std::shared_ptr<HttpExchange> exchange, const CallerRequest& request, std::string callId)
    : exchange_(std::move(exchange))
    , kind_(request.kind)
    , format_(request.format)
    , isStreamed_(request.isStreamed)
    , model_(request.target)
    , callId_(std::move(callId))
{
}

bool ResponseWriter::writeText(std::string_view text, const std::string& agent, std::uint64_t offset)
{
    if (!isStreamed_) {
        text_ += text;
        return true;
    }
    if (exchange_->pendingBytes() > maxPendingBytes) {
        exchange_->abort();
        return false;
    }
    beginStream();
    ServerSentEvent event;
    event.id = formatStreamPosition({ agent, callId_, offset });
    event.data = completionJson(text, nullptr);
    exchange_->write(formatServerSentEvent(event));
    return true;
}

void ResponseWriter::writeOutcome(const CallOutcome& outcome)
{
    bool isOk = outcome.code == ResultCode::Ok;
    if (isStreamed_ && (hasBegun_ || isOk))
        writeStreamEnd(outcome);
    else if (isOk)
        writeCompleteResponse(outcome);
    else
        exchange_->respond(problemResponse(outcome.code, outcome.executed, ""));
}

void ResponseWriter::writeStreamEnd(const CallOutcome& outcome)
{
    beginStream();
    if (outcome.code == ResultCode::Ok) {
        ServerSentEvent last;
        last.data = completionJson("", "stop");
        exchange_->write(formatServerSentEvent(last));
        ServerSentEvent done;
        done.data = streamEnd;
        exchange_->write(formatServerSentEvent(done));
    } else {
        ServerSentEvent error;
        error.event = "error";
        error.data = problemBody(outcome.code, outcome.executed, "the answer is incomplete");
        exchange_->write(formatServerSentEvent(error));
    }
    exchange_->endStream();
}

void ResponseWriter::writeCompleteResponse(const CallOutcome& outcome)
{
    HttpResponse response;
    response.headers = headers("application/json");
    response.body = kind_ == CallKind::Service ? outcome.answer : completionJson(text_, "stop");
    exchange_->respond(std::move(response));
}

void ResponseWriter::beginStream()
{
    if (hasBegun_)
        return;
    hasBegun_ = true;
    HttpResponse head;
    head.headers = headers("text/event-stream");
    head.headers.push_back({ "Cache-Control", "no-store" });
    exchange_->beginStream(std::move(head));
}

std::vector<HttpHeader> ResponseWriter::headers(const std::string& contentType) const
{
    return { { "Content-Type", contentType }, { "X-Request-Id", callId_ } };
}

std::string ResponseWriter::completionJson(std::string_view text, const char* finishReason) const
{
    bool isChat = format_ == CompletionFormat::Chat;
    Json choice;
    choice["index"] = 0;
    choice["finish_reason"] = finishReason == nullptr ? Json() : Json(finishReason);
    if (!isChat)
        choice["text"] = text;
    else
        choice[isStreamed_ ? "delta" : "message"] = { { "role", "assistant" }, { "content", text } };
    std::string object = isChat ? "chat.completion" : "text_completion";
    if (isChat && isStreamed_)
        object += ".chunk";
    Json body;
    body["id"] = callId_;
    body["object"] = object;
    body["model"] = model_;
    body["choices"] = Json::array({ choice });
    return dump(body);
}

}

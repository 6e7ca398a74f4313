#pragma once

#include "Transport/ContentHash.h"
#include "Transport/HttpMessage.h"
#include "Transport/ResponseMatcher.h"
#include "Transport/ResponseParser.h"
#include "Transport/UpstreamHandlers.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Reads the responses on one connection and passes the response to the current request to its handlers.
class ResponseReader {
public:
    enum class Result {
        // The response is incomplete, or no response is expected any more.
        Continue,
        // The bytes are not a valid response, or too many of them belong to none, or the response may be a second copy of
        // an earlier one.
        Invalid,
    };

    explicit ResponseReader(std::string idHeader);

    // Expects the response to a request. The id is absent if the server does not state ids in responses.
    void begin(std::optional<std::string> requestId, UpstreamHandlers handlers);

    // Returns whether a response is expected.
    bool isActive() const { return handlers_ != nullptr; }

    Result receive(std::string_view bytes);

    // Returns whether the expected response has neither a length nor chunks, so that it ends with its connection.
    bool endsWithConnection() const;

    // Completes the expected response, which must end with its connection, after the server has ended the connection in
    // order. Returns Invalid if it may be a second copy of an earlier one.
    Result receiveEnd();

    // Expects no response any more, and returns the handlers of the one that was expected. May be called by a handler,
    // which exists until it returns.
    std::shared_ptr<UpstreamHandlers> cancel();

    // Returns whether a further response can be read: the server keeps the connection open, and all of its bytes so far
    // were responses that were expected.
    bool canContinue() const { return isInStep_ && !matcher_.isExhausted(); }

    // Returns whether the response to this request could be distinguished from those to earlier requests.
    bool canIdentify(const std::optional<std::string>& requestId) const { return matcher_.canIdentify(requestId); }

    // Returns how long the server keeps an idle connection, or zero if it did not state a time.
    std::chrono::milliseconds keepAliveTime() const { return keepAliveTime_; }

private:
    void startMessage();
    void handleHead(const HttpResponse& head);
    void handleBody(std::string_view body);
    void parseConnectionHeaders(const HttpResponse& head);
    // isLastReceived states whether no bytes follow the message.
    Result finishMessage(bool isLastReceived);

    ResponseMatcher matcher_;
    // Null if no response is expected. Each call of a handler shares it.
    std::shared_ptr<UpstreamHandlers> handlers_;
    std::optional<ResponseParser> parser_;
    // Received bytes that are not parsed yet, and the number of them with which the parser can continue.
    std::string pending_;
    std::size_t minParsedBytes_ { 1 };
    // Hash of the current response; kept only if the request has no id.
    ContentHash contentHash_;
    std::chrono::milliseconds keepAliveTime_ { 0 };
    bool isInStep_ { true };
    bool isSkippingResponse_ { false };
    std::size_t skippedBytes_ { 0 };
};

}

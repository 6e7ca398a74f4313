#pragma once

#include "Forwarding/ResponseParser.h"
#include "Forwarding/UpstreamHandlers.h"
#include "Transport/HttpMessage.h"

#include <chrono>
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
        // The bytes are not a valid response, or too many of them belong to none.
        Invalid,
    };

    // Expects the response to a request.
    void begin(UpstreamHandlers handlers);

    // Returns whether a response is expected.
    bool isActive() const { return isActive_; }

    Result receive(std::string_view bytes);

    // Handles the end of the connection by the server. Returns Invalid if the response is incomplete.
    Result receiveEnd();

    // Expects no response any more, and returns the handlers of the one that was expected.
    UpstreamHandlers cancel();

    // Returns whether the next response on the connection can be read: the server keeps the connection open, and all of
    // its bytes so far were responses that were expected.
    bool isInStep() const { return isInStep_; }

    // Returns how long the server keeps an idle connection, or zero if it did not state a time.
    std::chrono::milliseconds keepAliveTime() const { return keepAliveTime_; }

private:
    void startMessage();
    void handleHead(const HttpResponse& head);
    void handleBody(std::string_view body);
    void parseConnectionHeaders(const HttpResponse& head);
    // isLastReceived states whether no bytes follow the message.
    void finishMessage(bool isLastReceived);

    UpstreamHandlers handlers_;
    bool isActive_ { false };
    std::optional<ResponseParser> parser_;
    // Received bytes that are not parsed yet.
    std::string pending_;
    std::chrono::milliseconds keepAliveTime_ { 0 };
    bool isInStep_ { true };
    bool isSkippingResponse_ { false };
    std::size_t skippedBytes_ { 0 };
};

}

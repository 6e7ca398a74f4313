#pragma once

#include "Calls/CallDriver.h"
#include "Entry/CallerRequest.h"
#include "Transport/HttpServer.h"

#include <memory>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Writes the HTTP response of one call in the format that the caller requested.
class ResponseWriter {
public:
    ResponseWriter(std::shared_ptr<HttpExchange> exchange, const CallerRequest& request, std::string callId);

    // Writes the next text of the answer. The offset is the number of bytes of the answer up to the
    // end of this text.
    // Returns false if the caller reads too slowly and the call should be cancelled.
    bool writeText(std::string_view text, const std::string& agent, std::uint64_t offset);

    void writeOutcome(const CallOutcome& outcome);

private:
    std::string completionJson(std::string_view text, const char* finishReason) const;
    void beginStream();
    void writeStreamEnd(const CallOutcome& outcome);
    void writeCompleteResponse(const CallOutcome& outcome);
    std::vector<HttpHeader> headers(const std::string& contentType) const;

    std::shared_ptr<HttpExchange> exchange_;
    CallKind kind_;
    CompletionFormat format_;
    bool isStreamed_;
    std::string model_;
    std::string callId_;
    bool hasBegun_ { false };
    std::string text_;
};

}

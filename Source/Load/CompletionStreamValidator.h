#pragma once

#include "Core/ResultCode.h"
#include "Transport/EventStreamParser.h"

namespace Damaskgrade {

// A refusal or failure, as problem details or an error event carry it.
struct ReportedError {
    ResultCode code { ResultCode::Internal };
    Executed executed { Executed::Unknown };
};

// Reads {"code", "executed"} of a problem document. What is absent counts as Internal and Unknown.
ReportedError parseReportedError(std::string_view text);

// Puts together the text of one answer from its events, over several connections if need be.
class CompletionStreamValidator {
public:
    // Returns whether the event carried text.
    bool addEvent(const ServerSentEvent& event);

    const std::string& text() const { return text_; }

    // The id to go on from on another connection, or an empty string.
    const std::string& lastId() const { return lastId_; }

    bool isDone() const { return isDone_; }
    bool hasError() const { return hasError_; }
    const ReportedError& error() const { return error_; }

    // An event did not join the text before it, came after the end, or could not be read.
    bool isMalformed() const { return isMalformed_; }

private:
    std::string text_;
    std::string lastId_;
    ReportedError error_;
    bool isDone_ { false };
    bool hasError_ { false };
    bool isMalformed_ { false };
};

}

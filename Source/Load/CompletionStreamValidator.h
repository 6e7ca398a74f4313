#pragma once

#include "Core/ResultCode.h"
#include "Transport/EventStreamParser.h"

namespace Damaskgrade {

// An error from a problem document or from an error event of a stream.
struct ReportedError {
    ResultCode code { ResultCode::Internal };
    Executed executed { Executed::Unknown };
};

// Parses {"code", "executed"} of a problem document. Missing fields default to Internal and Unknown,
// and so do both if the text can't be parsed.
ReportedError parseReportedError(std::string_view text);

// Assembles the text of one completion from its events, which may arrive over several connections,
// and detects missing, duplicated and unexpected events.
class CompletionStreamValidator {
public:
    // Adds the next event. Returns whether it carried text.
    bool addEvent(const ServerSentEvent& event);

    const std::string& text() const { return text_; }

    // Returns the last event id, from which another connection can resume the stream, or an empty string.
    const std::string& lastId() const { return lastId_; }

    bool isDone() const { return isDone_; }
    bool hasError() const { return hasError_; }
    const ReportedError& error() const { return error_; }

    // Returns whether an event did not continue the text before it, came after the end, or could not be parsed.
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

#pragma once

#include "Core/Clock.h"
#include "Load/ArrivalSchedule.h"
#include "Load/CompletionStreamValidator.h"
#include "Transport/HttpClient.h"

namespace Damaskgrade {

// One call of the load generator, including its retries.
class LoadCall {
public:
    using Done = std::function<void(const LoadResult&)>;

    // The first attempt goes to the entry with this index, each retry to the next one.
    LoadCall(HttpClient& client, const Clock& clock, const LoadOptions& options, const Arrival& arrival,
        TimePoint intendedStart, const std::string& callId, std::size_t entry, Done done);

    void send();

    // Ends the call with the result Timeout, because the run is over.
    void endWithTimeout();

private:
    HttpRequest makeRequest() const;
    std::chrono::milliseconds timeLeft() const;
    void handleHead(const HttpResponse& head);
    void handleBody(std::string_view part);
    void handleEvent(const ServerSentEvent& event);
    void handleEnd();
    void handleFailure(const HttpFailure& failure);
    void finishStream();
    void finishError(const ReportedError& error);
    void finish();

    HttpClient& client_;
    const Clock& clock_;
    const LoadOptions& options_;
    Arrival arrival_;
    TimePoint intendedStart_;
    std::string callId_;
    std::size_t entry_;
    Done done_;
    std::unique_ptr<HttpCall> request_;
    EventStreamParser parser_;
    CompletionStreamValidator completion_;
    LoadResult result_;
    TimePoint lastToken_ {};
    std::uint32_t attempts_ { 0 };
    bool wasSent_ { false };
    int status_ { 0 };
    std::string body_;
};

}

#pragma once

#include "Core/Clock.h"
#include "Load/AnswerCheck.h"
#include "Load/ArrivalSchedule.h"
#include "Transport/HttpClient.h"

namespace Damaskgrade {

// One call of the load generator, over all its sends.
class LoadCall {
public:
    using Done = std::function<void(const LoadResult&)>;

    // The entry is the index of the one that is asked first.
    LoadCall(HttpClient& client, const Clock& clock, const LoadOptions& options, const Arrival& arrival,
        TimePoint intendedStart, const std::string& callId, std::size_t entry, Done done);

    void send();

    // Ends the call now, because the run is over.
    void giveUp();

private:
    HttpRequest makeRequest() const;
    std::chrono::milliseconds timeLeft() const;
    void takeHead(const HttpResponse& head);
    void takeBody(std::string_view part);
    void takeEvent(const ServerSentEvent& event);
    void takeEnd();
    void takeFailure(const HttpFailure& failure);
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
    AnswerCheck answer_;
    LoadResult result_;
    TimePoint lastToken_ {};
    std::uint32_t sends_ { 0 };
    bool wasSent_ { false };
    int status_ { 0 };
    std::string body_;
};

}

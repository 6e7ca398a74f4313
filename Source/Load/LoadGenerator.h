#pragma once

#include "Load/LoadCall.h"
#include "Load/LoadTestReport.h"

#include <map>

namespace Damaskgrade {

// An open-loop load generator: calls start at their scheduled times regardless of response times,
// and latencies are measured from the scheduled time.
class LoadGenerator {
public:
    using Done = std::function<void(const LoadTestReport&)>;

    // Throws Error(SettingsInvalid) if an option is out of range.
    LoadGenerator(EventLoop& loop, const Clock& clock, const LoadOptions& options);

    // Starts the run. Calls done once, after the last response or at the drain limit.
    void start(Done done);

private:
    void startDueCalls();
    void scheduleNext();
    void startCall(const Arrival& arrival);
    void finishCall(std::uint64_t number, const LoadResult& result);
    void rejectCall(const Arrival& arrival);
    void record(const LoadResult& result);
    void startDraining();
    void endDraining();
    void endIfDone();

    EventLoop& loop_;
    const Clock& clock_;
    LoadOptions options_;
    HttpClient client_;
    ArrivalSchedule schedule_;
    Random random_;
    // Part of every call id, so that runs with the same seed do not share idempotency keys.
    std::string runId_;
    TimePoint start_ {};
    std::optional<Arrival> next_;
    std::map<std::uint64_t, std::unique_ptr<LoadCall>> calls_;
    LoadTestReport report_;
    Done done_;
    std::unique_ptr<Timer> timer_;
    std::unique_ptr<Timer> drainTimer_;
};

}

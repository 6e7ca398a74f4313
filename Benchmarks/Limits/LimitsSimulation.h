#pragma once

#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "Limiter.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Damaskgrade {

enum class LimitPolicy {
    Fifo,
    BoundedFifo,
    Damaskgrade,
};

struct CustomerLoad {
    std::string name;
    double weight { 1 };
    double callsPerSecond { 0 };
    // Calls per second in the measurement window, the 20 s after the warm-up.
    double burstCallsPerSecond { 0 };
    // Number of entries that the customer uses, beginning with the first; 0 means all.
    std::size_t entries { 0 };
};

struct LimitScenario {
    std::string name;
    std::vector<CustomerLoad> customers;
    std::size_t entries { 4 };
    // Calls that all machines together can run concurrently. A call takes 1 s on average, so this is also the capacity in
    // calls per second.
    std::size_t slots { 48 };
    // Slots that are lost during the measurement window.
    std::size_t lostSlots { 0 };
    std::chrono::seconds warmUp { 20 };
};

struct CustomerResult {
    std::uint64_t calls { 0 };
    std::uint64_t onTime { 0 };
    std::uint64_t late { 0 };
    std::uint64_t refused { 0 };
};

struct LimitResult {
    std::vector<CustomerResult> customers;
    // Calls that ended on time in the measurement window, including those that arrived before it.
    std::uint64_t answeredInWindow { 0 };
    // Sum over all refusals of the time from arrival to refusal, in seconds.
    double refusalDelayTotal { 0 };
    std::uint64_t refusals { 0 };
};

// Simulates the limiters of several entries on a manual clock. Counts the calls that arrive in the measurement window.
class LimitsSimulation {
public:
    LimitsSimulation(const LimitScenario& scenario, LimitPolicy policy, std::uint64_t seed, LimitResult& result);
    void run();

private:
    struct Call {
        std::size_t customer { 0 };
        std::size_t entry { 0 };
        TimePoint arrivedAt;
        TimePoint deadline;
        Duration serviceTime { 0 };
        bool isStarted { false };
        TimePoint endsAt;
    };

    std::unique_ptr<Limiter> makeLimiter(LimitPolicy policy) const;
    void generateArrivals();
    void submit(const std::string& id);
    void endCalls();
    void applyCapacityLoss();
    void apply(const AdmissionDecision& decision);
    bool isCounted(const Call& call) const;
    bool isInMeasurementWindow(TimePoint time) const;

    LimitScenario scenario_;
    LimitResult& result_;
    ManualClock clock_;
    TimePoint startTime_;
    Random random_;
    std::vector<std::unique_ptr<Limiter>> limiters_;
    std::vector<std::size_t> slots_;
    std::vector<std::size_t> startedCalls_;
    std::map<std::string, Call> calls_;
    std::uint64_t nextCall_ { 1 };
    bool isCapacityLost_ { false };
};

}

#pragma once

#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "EngineModel.h"
#include "Routing/BackendServerSelector.h"
#include "Routing/BaselineSelectors.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Damaskgrade {

enum class Policy {
    RoundRobin,
    LeastReported,
    TwoChoices,
    Damaskgrade,
};

enum class Fault {
    None,
    // One engine is three times slower from 20 s to the end.
    Straggler,
    // One engine makes no progress from 20 s to 50 s. Its agent stays connected and resends the last load report.
    Stalled,
    // One third of the engines is disconnected from 20 s to 40 s and restarts with empty caches.
    ZoneLost,
};

struct Scenario {
    std::string name;
    Duration reportLag { 0 };
    double callsPerSecond { 0 };
    Fault fault { Fault::None };
};

// Samples of all seeds of one scenario and policy. Times are in milliseconds.
struct Samples {
    std::vector<double> firstToken;
    // Time to first token of calls that arrived from 40 s to 50 s, which is after a lost zone was restored.
    std::vector<double> firstTokenAfterRecovery;
    std::vector<float> tokenInterval;
    // Number of calls at the busiest engine divided by the mean over all connected engines, sampled every 100 ms.
    std::vector<double> imbalance;
    std::uint64_t promptBlocks { 0 };
    std::uint64_t hitBlocks { 0 };
    std::uint64_t calls { 0 };
    std::uint64_t retries { 0 };
    std::uint64_t unanswered { 0 };
};

// Simulates 4 entries that route calls to 16 engine models on a manual clock.
class RoutingSimulation {
public:
    RoutingSimulation(const Scenario& scenario, Policy policy, std::uint64_t seed, Samples& samples);
    void run();

private:
    struct Call {
        std::uint64_t id { 0 };
        std::size_t entry { 0 };
        TimePoint arrivedAt;
        TimePoint startedAt;
        std::shared_ptr<const std::vector<std::uint64_t>> prefix;
        std::uint32_t tokens { 0 };
        std::vector<std::string> tried;
        std::string server;
        bool hasFirstToken { false };
    };

    struct Entry {
        Entry(const Clock& clock, const ZoneLatencies& latencies, std::size_t index, Policy policy, std::uint64_t seed);

        Random random;
        BackendServerTable table;
        PrefixCacheIndex cache;
        OutlierDetector outliers;
        std::unique_ptr<Selector> selector;
        std::deque<std::uint64_t> waitQueue;
    };

    struct Delivery {
        TimePoint deliverAt;
        std::size_t engine { 0 };
        LoadReport load;
        TimePoint reportedAt;
        std::vector<CacheEvent> events;
    };

    void connect(std::size_t engine, bool isFirst);
    void makeConversations();
    void generateArrivals();
    void applyFault();
    void failZone();
    void restoreZone();
    void publishReports();
    void deliverReports();
    void runEngines();
    void abortSilentCalls();
    void dispatch(Entry& entry);
    bool send(Entry& entry, Call& call);
    void retry(std::uint64_t id);
    void onFirstToken(const EngineCall& engineCall);
    void onCallEnded(const EngineCall& engineCall);
    void sampleImbalance();
    bool isInLostZone(std::size_t engine) const { return engine % 3 == 0; }

    Scenario scenario_;
    Policy policy_;
    Samples& samples_;
    ManualClock clock_;
    TimePoint startTime_;
    Random random_;
    ZoneLatencies latencies_;
    std::vector<std::unique_ptr<EngineModel>> engines_;
    std::vector<bool> isUp_;
    std::vector<int> incarnations_;
    std::vector<LoadReport> lastReports_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::deque<Delivery> deliveries_;
    std::unordered_map<std::uint64_t, Call> calls_;
    std::vector<std::vector<std::uint64_t>> conversations_;
    std::uint64_t nextCall_ { 1 };
    TimePoint nextArrival_;
    bool isZoneLost_ { false };
};

}

#pragma once

#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "Fleet/FleetView.h"
#include "Forwarding/InFlightTracker.h"
#include "Forwarding/ResponseTimes.h"
#include "Forwarding/ServerSelector.h"
#include "Forwarding/WaitQueueKey.h"
#include "StreamCapacity/LockStepGroup.h"
#include "StreamCapacity/StreamCapacity.h"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Damaskgrade {

struct StreamScenario {
    std::size_t ranks { 24 };
    std::size_t gateways { 15 };
    // First attempts of all callers in a second.
    double arrivals { 80 };
    // For these seconds, arrivals are multiplied by the factor.
    double waveFrom { 0 };
    double waveUntil { 0 };
    double waveFactor { 1 };
    // Load of the most loaded rank for experts, relative to the mean.
    double skew { 1.65 };
    // Share of the requests that are of the first tenant. The other ones are spread over nine tenants.
    double firstTenantShare { 0.1 };
    std::chrono::milliseconds targetLatency { 400 };
    std::chrono::milliseconds targetGap { 120 };
    StreamCapacityMode mode { StreamCapacityMode::Auto };
    std::chrono::seconds duration { 30 };
    std::uint64_t seed { 1 };
};

struct StreamCounts {
    std::uint64_t total { 0 };
    std::uint64_t onTime { 0 };
    std::uint64_t lateStart { 0 };
    std::uint64_t latePause { 0 };
    std::uint64_t refused { 0 };

    std::uint64_t late() const { return lateStart + latePause; }
    double share(std::uint64_t count) const { return total == 0 ? 0 : static_cast<double>(count) / static_cast<double>(total); }
    double servedShare() const { return share(onTime + late()); }
    // A late stream is worth less than one on time.
    double worth() const { return share(onTime) + 0.4 * share(late()); }
};

struct StreamResults {
    StreamCounts all;
    std::array<StreamCounts, 3> byPriority;
    std::map<std::size_t, StreamCounts> byTenant;
};

// Returns the figures that the operator publishes for the engines of the first new customer.
EngineModel publishedEngine();

// Callers, gateways and one group of engines, without a network. The gateways select servers with the product's selector and
// tell each other their counts every 200 ms.
class StreamSimulation {
public:
    explicit StreamSimulation(const StreamScenario& scenario);
    StreamResults run();

private:
    struct Stream {
        std::uint64_t id { 0 };
        std::int32_t priority { 0 };
        std::size_t tenant { 0 };
        std::size_t gateway { 0 };
        TimePoint firstArrivedAt;
        TimePoint arrivedAt;
        bool isRetry { false };
        bool isSent { false };
        std::size_t server { 0 };
        TimePoint sentAt;
        std::uint32_t events { 0 };
        TimePoint firstEventAt;
        TimePoint lastEventAt;
        Duration longestGap { 0 };
    };

    struct Gateway {
        Gateway(const StreamSimulation& simulation, const std::string& zone, std::uint64_t seed);

        FleetView fleet;
        InFlightTracker loads;
        OutlierDetector outliers;
        ServerRateLimits rateLimits;
        Random random;
        ServerSelector selector;
        StreamCapacity capacity;
        ResponseTimes responseTimes;
        std::vector<std::uint64_t> waiting;
        bool hasRoom { false };
    };

    struct Retry {
        TimePoint at;
        Stream stream;
    };

    void arrive();
    void accept(Stream stream);
    void processWaiting(Gateway& gateway);
    // Returns whether the stream no longer waits.
    bool trySend(Stream& stream);
    bool willBeLate(const Stream& stream) const;
    void refuse(Stream stream, Duration retryAfter);
    void handleEvent(std::uint64_t id);
    void handleEnd(std::uint64_t id);
    void sendCounts(std::size_t from);
    void retryCallers();
    void abandonSilent();
    template <typename Function>
    void count(const Stream& stream, Function function);

    StreamScenario scenario_;
    std::chrono::milliseconds patience_ { 0 };
    ManualClock clock_;
    TimePoint startedAt_ { clock_.now() };
    Random random_;
    EngineModel engine_;
    LockStepGroup group_;
    std::vector<ServerRecord> servers_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::map<std::uint64_t, Stream> streams_;
    std::vector<Retry> retries_;
    std::uint64_t lastId_ { 0 };
    StreamResults results_;
};

}

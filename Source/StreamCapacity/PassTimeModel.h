#pragma once

#include "Catalog/Catalog.h"
#include "Core/Clock.h"
#include "StreamCapacity/StreamCapacitySettings.h"

#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Estimates how long the passes of a service's engines take, as a function of the number of requests that they run.
//
// The time has a fixed part, an offset, a cost for each request, and a deviation. The fixed part and the cost are published.
// The pauses between the events of streams show the offset, mainly the time in which prompts are read, and the deviation, and
// correct the cost; for the service, and from there offset and deviation for each server.
class PassTimeModel {
public:
    PassTimeModel(const Clock& clock, const EngineModel& engine, PassTimeSettings settings);

    // Records a pause between two events of a stream, while the servers ran this number of requests on average.
    void recordPause(std::string_view serverId, double requests, Duration pause);

    // Returns the number of requests up to which streams of usual length have no pause above the target. Not above zero if
    // there is no such number.
    double maxRequests(std::string_view serverId, Duration target) const;

    // Returns the expected time of a pass.
    Duration expectedPass(std::string_view serverId, double requests) const;

    // Returns the cost of a request in a pass in milliseconds, as estimated for the service.
    double requestMilliseconds() const { return serviceEstimate().cost; }

    // Number of passes in which a response of usual length is generated.
    double passesPerResponse() const { return passes_; }

    // Returns the time in which a response of usual length is generated if half of the slots are in use, by the published
    // figures.
    Duration usualResponseTime() const;

    // Forgets servers without recent pauses.
    void removeExpired();

private:
    // In milliseconds.
    struct Estimate {
        double offset { 0 };
        double cost { 0 };
        double variance { 0 };
    };

    // Sums over measured pauses, whose weight decays, without the fixed part of their time.
    struct ServiceSums {
        TimePoint updatedAt;
        double weight { 0 };
        double requests { 0 };
        double squaredRequests { 0 };
        double time { 0 };
        double timeByRequests { 0 };
        double squaredError { 0 };
    };

    // Sums of the differences from what is expected of the service.
    struct ServerSums {
        TimePoint updatedAt;
        double weight { 0 };
        double error { 0 };
        double squaredError { 0 };
    };

    double decay(TimePoint since) const;
    Estimate serviceEstimate() const;
    Estimate serverEstimate(std::string_view serverId) const;

    const Clock& clock_;
    PassTimeSettings settings_;
    double slots_ { 1 };
    double passes_ { 1 };
    double fixedMilliseconds_ { 0 };
    double maxPauseMilliseconds_ { 0 };
    // Number of standard deviations that a pass may take longer than expected.
    double deviations_ { 0 };
    Estimate published_;
    ServiceSums service_;
    std::map<std::string, ServerSums, std::less<>> servers_;
};

}

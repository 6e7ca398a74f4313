#pragma once

#include "Core/Clock.h"

#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

struct ResponseTimesSettings {
    // Assumed before the first response of a service.
    std::chrono::milliseconds initial { 150 };
    // Weight of a new time in the mean and in the deviation.
    double sampleWeight { 0.05 };
    // Deviations that are added to the mean, so that most responses come within the expected time.
    double deviationFactor { 1 };
};

// Estimates how long the servers of a service take from the send of a request to the first part of its response.
class ResponseTimes {
public:
    explicit ResponseTimes(ResponseTimesSettings settings);

    void record(std::string_view service, Duration time);

    Duration expected(std::string_view service) const;

private:
    // Both in seconds.
    struct Estimate {
        double mean { 0 };
        double deviation { 0 };
    };

    ResponseTimesSettings settings_;
    std::map<std::string, Estimate, std::less<>> estimates_;
};

}

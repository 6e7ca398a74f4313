#pragma once

#include "Core/Clock.h"

#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

struct ResponseTimesSettings {
    // Expected time before the first response of a service.
    std::chrono::milliseconds initial { 150 };
    // Weight of a new sample in the moving averages of the time and of its deviation.
    double sampleWeight { 0.05 };
    // Number of deviations that are added to the mean, so that most responses begin within the expected time.
    double deviationFactor { 1 };
};

// Estimates the time between sending a request to a server of a service and the beginning of the response.
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

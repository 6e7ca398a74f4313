#pragma once

#include "Core/Clock.h"

#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

struct ResponseTimesSettings {
    // Expected time for a service of which no response has been recorded yet.
    std::chrono::milliseconds initial { 150 };
    // Weight of a new sample in the moving averages of the time and of its absolute deviation from the mean.
    double sampleWeight { 0.05 };
    // Number of deviations that are added to the mean, so that most responses begin within the expected time.
    double deviationFactor { 1 };
};

// Estimates the time between sending a request to a server of a service and the first event of the response, or the end
// of a response that is not streamed.
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

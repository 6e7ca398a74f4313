#pragma once

#include "Core/Clock.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace Damaskgrade {

// One-way latencies between availability zones.
class ZoneLatencies {
public:
    // The default applies to each pair of different zones for which no latency is set.
    explicit ZoneLatencies(Duration defaultLatency);

    void set(std::string_view zone, std::string_view otherZone, Duration latency);
    // Returns zero if both zones are the same.
    Duration between(std::string_view zone, std::string_view otherZone) const;

private:
    Duration defaultLatency_;
    std::map<std::pair<std::string, std::string>, Duration> latencies_;
};

}

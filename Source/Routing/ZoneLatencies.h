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
    // The default holds for two different zones without an entry of their own.
    explicit ZoneLatencies(Duration defaultLatency);

    void set(std::string_view zone, std::string_view otherZone, Duration latency);
    // Returns zero for the same zone.
    Duration between(std::string_view zone, std::string_view otherZone) const;

private:
    Duration defaultLatency_;
    std::map<std::pair<std::string, std::string>, Duration> latencies_;
};

}

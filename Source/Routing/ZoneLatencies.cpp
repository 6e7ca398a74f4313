#include "Routing/ZoneLatencies.h"

namespace Damaskgrade {

namespace {

std::pair<std::string, std::string> zonePair(std::string_view zone, std::string_view otherZone)
{
    if (otherZone < zone)
        return { std::string(otherZone), std::string(zone) };
    return { std::string(zone), std::string(otherZone) };
}

}

ZoneLatencies::ZoneLatencies(Duration defaultLatency)
    : defaultLatency_(defaultLatency)
{
}

void ZoneLatencies::set(std::string_view zone, std::string_view otherZone, Duration latency)
{
    latencies_[zonePair(zone, otherZone)] = latency;
}

Duration ZoneLatencies::between(std::string_view zone, std::string_view otherZone) const
{
    if (zone == otherZone)
        return Duration::zero();
    std::map<std::pair<std::string, std::string>, Duration>::const_iterator found = latencies_.find(zonePair(zone, otherZone));
    return found == latencies_.end() ? defaultLatency_ : found->second;
}

}

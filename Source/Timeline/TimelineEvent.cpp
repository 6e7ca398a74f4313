#include "Timeline/TimelineEvent.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <tuple>

namespace Damaskgrade {

namespace {

struct KindName {
    EventKind kind;
    std::string_view name;
};

constexpr std::array kindNames {
    KindName { EventKind::Other, "Other" },
    KindName { EventKind::ProcessStarted, "ProcessStarted" },
    KindName { EventKind::ProcessStopping, "ProcessStopping" },
    KindName { EventKind::DrainStarted, "DrainStarted" },
    KindName { EventKind::AdmissionStopped, "AdmissionStopped" },
    KindName { EventKind::AdmissionResumed, "AdmissionResumed" },
    KindName { EventKind::ConfigurationProposed, "ConfigurationProposed" },
    KindName { EventKind::ConfigurationCommitted, "ConfigurationCommitted" },
    KindName { EventKind::ConfigurationInForce, "ConfigurationInForce" },
    KindName { EventKind::ConfigurationRefused, "ConfigurationRefused" },
    KindName { EventKind::InstanceSuspected, "InstanceSuspected" },
    KindName { EventKind::InstanceRecovered, "InstanceRecovered" },
    KindName { EventKind::InstanceRemoved, "InstanceRemoved" },
    KindName { EventKind::BackendServerEjected, "BackendServerEjected" },
    KindName { EventKind::BackendServerReadmitted, "BackendServerReadmitted" },
    KindName { EventKind::LeaseAcquired, "LeaseAcquired" },
    KindName { EventKind::LeaseLost, "LeaseLost" },
    KindName { EventKind::MapIntended, "MapIntended" },
    KindName { EventKind::MapPrepared, "MapPrepared" },
    KindName { EventKind::MapArmed, "MapArmed" },
    KindName { EventKind::MapSwitched, "MapSwitched" },
    KindName { EventKind::MapRefused, "MapRefused" },
    KindName { EventKind::StreamResumed, "StreamResumed" },
    KindName { EventKind::ClaimTakenOver, "ClaimTakenOver" },
    KindName { EventKind::OutcomeUnknown, "OutcomeUnknown" },
    KindName { EventKind::PlatformUnavailable, "PlatformUnavailable" },
    KindName { EventKind::PlatformAvailable, "PlatformAvailable" },
};

std::string formatTime(HybridTime time)
{
    std::uint64_t milliseconds = time >> 16;
    std::time_t seconds = static_cast<std::time_t>(milliseconds / 1000);
    std::tm fields {};
    gmtime_r(&seconds, &fields);
    std::array<char, 32> date {};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &fields);
    std::array<char, 16> suffix {};
    std::snprintf(suffix.data(), suffix.size(), ".%03uZ+%u", static_cast<unsigned>(milliseconds % 1000), static_cast<unsigned>(time & 0xffff));
    return std::string(date.data()) + suffix.data();
}

}

bool operator<(const TimelineEvent& left, const TimelineEvent& right)
{
    return std::tie(left.time, left.instance, left.incarnation) < std::tie(right.time, right.instance, right.incarnation);
}

bool isSameEvent(const TimelineEvent& left, const TimelineEvent& right)
{
    return !(left < right) && !(right < left);
}

std::string_view eventKindName(EventKind kind)
{
    for (const KindName& row : kindNames) {
        if (row.kind == kind)
            return row.name;
    }
    return "Other";
}

EventKind parseEventKind(std::string_view name)
{
    for (const KindName& row : kindNames) {
        if (row.name == name)
            return row.kind;
    }
    return EventKind::Other;
}

std::string formatEvent(const TimelineEvent& event)
{
    std::string line = formatTime(event.time) + " " + event.instance + "/" + event.incarnation + " ";
    line += std::string(eventKindName(event.kind)) + " " + event.subject;
    if (!event.detail.empty())
        line += ": " + event.detail;
    return line;
}

}

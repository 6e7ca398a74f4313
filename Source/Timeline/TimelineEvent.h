#pragma once

#include "Core/HybridClock.h"

#include <string>
#include <string_view>

namespace Damaskgrade {

// What happened. Names are stable, since they are stored; docs and tools rely on them.
enum class EventKind {
    // An event of a newer version of the program, which this version does not know.
    Other,
    ProcessStarted,
    ProcessStopping,
    DrainStarted,
    AdmissionStopped,
    AdmissionResumed,
    ConfigurationProposed,
    ConfigurationCommitted,
    ConfigurationInForce,
    ConfigurationRefused,
    InstanceSuspected,
    InstanceRecovered,
    InstanceRemoved,
    BackendServerEjected,
    BackendServerReadmitted,
    LeaseAcquired,
    LeaseLost,
    MapIntended,
    MapPrepared,
    MapArmed,
    MapSwitched,
    MapRefused,
    StreamResumed,
    ClaimTakenOver,
    OutcomeUnknown,
    PlatformUnavailable,
    PlatformAvailable,
};

// A change of state of one process. Time, instance and incarnation identify the event,
// since a process never uses a hybrid time twice.
struct TimelineEvent {
    HybridTime time { 0 };
    std::string instance;
    std::string incarnation;
    EventKind kind { EventKind::Other };
    // What the event is about, for example a group, a change id or another instance.
    std::string subject;
    std::string detail;
};

// Orders by hybrid time, so that causes come before their effects, then by instance and incarnation.
bool operator<(const TimelineEvent& left, const TimelineEvent& right);

// Says whether both are copies of one event.
bool isSameEvent(const TimelineEvent& left, const TimelineEvent& right);

std::string_view eventKindName(EventKind kind);

// Returns EventKind::Other for an unknown name.
EventKind parseEventKind(std::string_view name);

// Returns one line without its end: time in UTC, counter, instance, incarnation, kind, subject, detail.
std::string formatEvent(const TimelineEvent& event);

}

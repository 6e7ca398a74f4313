#pragma once

#include "Core/HybridClock.h"

#include <string>
#include <string_view>

namespace Damaskgrade {

// Kinds of events. Their names must not change, since they are stored, documented and used by tools.
enum class EventKind {
    // A kind that is unknown to this version of the program, such as one added by a newer version.
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

// A state change of one process. Time, instance and incarnation together identify the event,
// since a process never reuses a hybrid time.
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

// Returns whether both are copies of the same event.
bool isSameEvent(const TimelineEvent& left, const TimelineEvent& right);

std::string_view eventKindName(EventKind kind);

// Returns EventKind::Other for an unknown name.
EventKind parseEventKind(std::string_view name);

// Returns one line without a line break: time in UTC, counter, instance, incarnation, kind, subject, detail.
std::string formatEvent(const TimelineEvent& event);

}

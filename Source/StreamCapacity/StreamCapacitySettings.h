#pragma once

#include "Core/Clock.h"
#include "StreamCapacity/AdmissionReserve.h"
#include "StreamCapacity/StreamWaitPolicy.h"

namespace Damaskgrade {

// For which services the capacity for streams on time is applied. Off by default in entries, because whole deployments served
// fewer callers in time with it (docs/design/stream-capacity.md).
enum class StreamCapacityMode {
    // Services whose streaming routes differ in priority.
    Auto,
    // All services that have streaming routes and publish the figures of their engines.
    On,
    Off,
};

struct PassTimeSettings {
    // Number of successive responses of usual length after which a measured pause has lost most of its weight.
    double memoryResponses { 14 };
    // Weight of the published figures in the estimate for a service, in measured pauses.
    double publishedWeight { 100 };
    // Weight of the published cost of a request, in measured pauses whose number of requests differs from the mean by one.
    double costWeight { 1000 };
    // The cost of a request is not estimated below this share of the published one.
    double minCostRatio { 0.5 };
    // Weight of the estimate for the service in the estimate for a server, in measured pauses.
    double serviceWeight { 40 };
    // Load of the most loaded rank for experts, relative to the mean, until pauses have been measured.
    double assumedSkew { 1.65 };
    // Share of the streams of usual length that have no pause above the target.
    double punctualShare { 0.95 };
    // Number of pauses that count as independent of each other, as a share of all: successive passes run mostly the same
    // requests. No stream had a long pause in the simulation with either number, and 3 in 100 more were served with this one.
    double independentShare { 0.33 };
    // Number of pauses in a usual stream if the service does not publish its usual length.
    double assumedPauses { 20 };
    // Longer pauses are not learned from, relative to the published pass time with all slots in use: a group that stands still
    // for a change of its map says nothing about the cost of a request.
    double maxPauseRatio { 4 };
};

struct StreamCapacitySettings {
    StreamCapacityMode mode { StreamCapacityMode::Auto };
    PassTimeSettings passTime {};
    // How often an entry states its counts to its peers, and how often it tries waiting requests again. Set by the process.
    Duration statePeriod { std::chrono::milliseconds(200) };
    Duration retryPeriod { std::chrono::milliseconds(50) };
    StreamWaitSettings wait {};
    // Upper bound of what an entry leaves free for more urgent requests, as a share of its own share.
    double maxReservedShare { 0.4 };
    // Time constant of the mean number of requests in flight, in state periods: the counts of peers are up to one period old.
    double loadMemoryPeriods { 1.5 };
    // The bound is not below this share of the slots, so that a wrong estimate cannot stop a service.
    double minSlotShare { 0.25 };
    // Free room in the service, in requests for each entry, from which on an entry may use more than its equal share.
    double minRoomPerEntry { 0.25 };
    // How long the bound of a service and the counts of peers, which are old anyway, are not summed up again, in state periods.
    double shareLifetimePeriods { 0.1 };
};

}

#pragma once

#include "Timeline/TimelineEvent.h"

#include <optional>
#include <vector>

namespace Damaskgrade {

// Events of one incarnation of one process, as stored in one object or returned by the process.
struct TimelineBatch {
    std::string instance;
    std::string incarnation;
    // Number of events that this incarnation has dropped so far because its buffer was full.
    std::uint64_t dropped { 0 };
    std::vector<TimelineEvent> events;
};

constexpr const char* timelineKeyPrefix = "timeline/";

// Returns the key under which a batch is stored. The same events have the same key, so retrying a write is idempotent.
std::string timelineKey(const TimelineBatch& batch);

// Returns the time of the last event in the batch with this key, or nothing if the key is not one of a batch.
std::optional<HybridTime> lastTimeOfKey(std::string_view key);

// Encode and decode the JSON form. Decoding throws Error(MalformedRequest) if the text is invalid.
std::string encodeTimelineBatch(const TimelineBatch& batch);
TimelineBatch decodeTimelineBatch(std::string_view text);

}

#pragma once

#include "Timeline/TimelineEvent.h"

#include <optional>
#include <vector>

namespace Damaskgrade {

// Events of one incarnation of one process, as stored in one object or served live.
struct TimelineBatch {
    std::string instance;
    std::string incarnation;
    // Events that this incarnation has dropped so far because its memory was full.
    std::uint64_t dropped { 0 };
    std::vector<TimelineEvent> events;
};

constexpr const char* timelineKeyPrefix = "timeline/";

// Returns the key under which a batch is stored. Equal events give equal keys, so a repeated write does no harm.
std::string timelineKey(const TimelineBatch& batch);

// Returns the time of the last event in the batch with this key, or nothing for a foreign key.
std::optional<HybridTime> lastTimeOfKey(std::string_view key);

// The JSON form. Decoding throws Error(MalformedRequest).
std::string encodeTimelineBatch(const TimelineBatch& batch);
TimelineBatch decodeTimelineBatch(std::string_view text);

}

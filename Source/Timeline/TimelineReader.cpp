#include "Timeline/TimelineReader.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Damaskgrade {

using Json = nlohmann::json;

void TimelineReader::add(std::string_view batchText)
{
    try {
        add(decodeTimelineBatch(batchText));
    } catch (const Error&) {
        addUnreadable();
    }
}

void TimelineReader::add(const TimelineBatch& batch)
{
    events_.insert(events_.end(), batch.events.begin(), batch.events.end());
    std::uint64_t& dropped = droppedByIncarnation_[batch.instance + "/" + batch.incarnation];
    dropped = std::max(dropped, batch.dropped);
}

void TimelineReader::addUnreadable()
{
    ++unreadable_;
}

std::vector<TimelineEvent> TimelineReader::events(HybridTime from) const
{
    std::vector<TimelineEvent> merged;
    std::copy_if(events_.begin(), events_.end(), std::back_inserter(merged), [from](const TimelineEvent& event) { return event.time >= from; });
    std::sort(merged.begin(), merged.end());
    merged.erase(std::unique(merged.begin(), merged.end(), isSameEvent), merged.end());
    return merged;
}

std::uint64_t TimelineReader::dropped() const
{
    std::uint64_t sum = 0;
    for (const auto& [incarnation, dropped] : droppedByIncarnation_)
        sum += dropped;
    return sum;
}

std::string TimelineReader::formatText(HybridTime from) const
{
    std::string text;
    for (const TimelineEvent& event : events(from))
        text += formatEvent(event) + "\n";
    if (dropped() > 0 || unreadable_ > 0)
        text += "incomplete: " + std::to_string(dropped()) + " events dropped, " + std::to_string(unreadable_) + " sources unreadable\n";
    return text;
}

std::string TimelineReader::formatJson(HybridTime from) const
{
    Json list = Json::array();
    for (const TimelineEvent& event : events(from)) {
        list.push_back({
            { "time_ms", event.time >> 16 },
            { "counter", event.time & 0xffff },
            { "instance", event.instance },
            { "incarnation", event.incarnation },
            { "kind", eventKindName(event.kind) },
            { "subject", event.subject },
            { "detail", event.detail },
        });
    }
    Json document { { "events", list }, { "dropped", dropped() }, { "unreadable", unreadable_ } };
    return document.dump(2, ' ', false, Json::error_handler_t::replace);
}

}

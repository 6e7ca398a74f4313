#include "Timeline/TimelineBatch.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <cstdio>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

constexpr std::size_t timeDigits = 16;

std::string formatHybridTime(HybridTime time)
{
    std::array<char, timeDigits + 1> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(time));
    return digits.data();
}

std::optional<HybridTime> parseHybridTime(std::string_view text)
{
    HybridTime time = 0;
    std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), time, 16);
    if (text.size() != timeDigits || result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return time;
}

TimelineEvent decodeEvent(const Json& json, const TimelineBatch& batch)
{
    std::optional<HybridTime> time = parseHybridTime(json.at("time").get<std::string>());
    if (!time)
        throw Error(ResultCode::MalformedRequest, "timeline event has no valid time");
    TimelineEvent event;
    event.time = *time;
    event.instance = batch.instance;
    event.incarnation = batch.incarnation;
    event.kind = parseEventKind(json.at("kind").get<std::string>());
    event.subject = json.at("subject").get<std::string>();
    event.detail = json.at("detail").get<std::string>();
    return event;
}

}

// The time of the last event comes first, so that a reader can skip older batches without reading them.
std::string timelineKey(const TimelineBatch& batch)
{
    std::string times = formatHybridTime(batch.events.back().time) + "-" + formatHybridTime(batch.events.front().time);
    return timelineKeyPrefix + times + "/" + batch.instance + "/" + batch.incarnation;
}

std::optional<HybridTime> lastTimeOfKey(std::string_view key)
{
    std::string_view prefix = timelineKeyPrefix;
    if (key.substr(0, prefix.size()) != prefix)
        return std::nullopt;
    return parseHybridTime(key.substr(prefix.size(), timeDigits));
}

std::string encodeTimelineBatch(const TimelineBatch& batch)
{
    Json events = Json::array();
    for (const TimelineEvent& event : batch.events) {
        events.push_back({
            { "time", formatHybridTime(event.time) },
            { "kind", eventKindName(event.kind) },
            { "subject", event.subject },
            { "detail", event.detail },
        });
    }
    Json document {
        { "instance", batch.instance },
        { "incarnation", batch.incarnation },
        { "dropped", batch.dropped },
        { "events", events },
    };
    // Subjects and details may contain bytes from callers that are not valid UTF-8.
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

TimelineBatch decodeTimelineBatch(std::string_view text)
{
    try {
        Json document = Json::parse(text);
        TimelineBatch batch;
        batch.instance = document.at("instance").get<std::string>();
        batch.incarnation = document.at("incarnation").get<std::string>();
        batch.dropped = document.at("dropped").get<std::uint64_t>();
        for (const Json& json : document.at("events"))
            batch.events.push_back(decodeEvent(json, batch));
        return batch;
    } catch (const Json::exception& failure) {
        throw Error(ResultCode::MalformedRequest, std::string("timeline batch can't be decoded: ") + failure.what());
    }
}

}

#include "Transport/EventStreamParser.h"

#include "Core/Error.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::size_t maxLineBytes = 1048576;

}

EventStreamParser::EventStreamParser(Handler handler)
    : handler_(std::move(handler))
{
}

void EventStreamParser::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        std::size_t end = bytes.find('\n');
        std::string_view part = bytes.substr(0, end);
        if (line_.size() + part.size() > maxLineBytes)
            throw Error(ResultCode::MalformedRequest, "a line of an event stream exceeds 1 MiB");
        line_ += part;
        if (end == std::string_view::npos)
            return;
        bytes.remove_prefix(end + 1);
        if (!line_.empty() && line_.back() == '\r')
            line_.pop_back();
        std::string line = std::exchange(line_, std::string());
        handleLine(line);
    }
}

void EventStreamParser::handleLine(std::string_view line)
{
    if (line.empty()) {
        dispatch();
        return;
    }
    std::size_t colon = line.find(':');
    std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (field == "id")
        event_.id = value;
    else if (field == "event")
        event_.event = value;
    if (field != "data")
        return;
    // Multiple data lines of one event are joined with line feeds.
    if (hasData_)
        event_.data += '\n';
    event_.data += value;
    hasData_ = true;
}

void EventStreamParser::dispatch()
{
    ServerSentEvent event = std::exchange(event_, ServerSentEvent());
    if (std::exchange(hasData_, false))
        handler_(event);
}

std::string formatServerSentEvent(const ServerSentEvent& event)
{
    std::string text;
    if (!event.id.empty())
        text += "id: " + event.id + "\n";
    if (!event.event.empty())
        text += "event: " + event.event + "\n";
    std::size_t start = 0;
    while (start <= event.data.size()) {
        std::size_t end = std::min(event.data.find('\n', start), event.data.size());
        text += "data: " + event.data.substr(start, end - start) + "\n";
        start = end + 1;
    }
    return text + "\n";
}

}

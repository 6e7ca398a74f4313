#include "Transport/ServerSentEventParser.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

ServerSentEventParser::ServerSentEventParser(std::function<void(const ServerSentEvent&)> onEvent)
    : onEvent_(std::move(onEvent))
{
}

void ServerSentEventParser::feed(std::string_view bytes)
{
    pending_ += bytes;
    std::size_t start = 0;
    std::size_t end = pending_.find('\n');
    while (end != std::string::npos) {
        std::string_view line(pending_.data() + start, end - start);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        readLine(line);
        start = end + 1;
        end = pending_.find('\n', start);
    }
    pending_.erase(0, start);
}

void ServerSentEventParser::readLine(std::string_view line)
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
        event_.id = std::string(value);
    else if (field == "event")
        event_.type = std::string(value);
    else if (field == "data") {
        if (hasData_)
            event_.data += '\n';
        event_.data += value;
        hasData_ = true;
    }
}

void ServerSentEventParser::dispatch()
{
    if (hasData_)
        onEvent_(event_);
    event_.type = "message";
    event_.data.clear();
    hasData_ = false;
}

std::string formatServerSentEvent(const ServerSentEvent& event)
{
    std::string text;
    if (!event.id.empty())
        text += "id: " + event.id + "\n";
    if (event.type != "message")
        text += "event: " + event.type + "\n";
    std::size_t start = 0;
    while (start <= event.data.size()) {
        std::size_t end = std::min(event.data.find('\n', start), event.data.size());
        text += "data: " + event.data.substr(start, end - start) + "\n";
        start = end + 1;
    }
    return text + "\n";
}

}

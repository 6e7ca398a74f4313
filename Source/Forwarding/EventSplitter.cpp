#include "Forwarding/EventSplitter.h"

#include <charconv>
#include <utility>

namespace Damaskgrade {

namespace {

// Far above the size of any event of a model engine. Limits the memory that a faulty server can occupy.
constexpr std::size_t maxEventBytes = 1024 * 1024;

std::optional<std::uint64_t> eventId(std::string_view event)
{
    std::size_t lineStart = 0;
    while (lineStart < event.size()) {
        std::size_t lineEnd = event.find('\n', lineStart);
        std::string_view line = event.substr(lineStart, lineEnd == std::string_view::npos ? std::string_view::npos : lineEnd - lineStart);
        if (line.substr(0, 3) == "id:") {
            line.remove_prefix(3);
            while (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            std::uint64_t value = 0;
            std::from_chars_result result = std::from_chars(line.data(), line.data() + line.size(), value);
            if (result.ec == std::errc())
                return value;
        }
        if (lineEnd == std::string_view::npos)
            break;
        lineStart = lineEnd + 1;
    }
    return std::nullopt;
}

}

EventSplitter::EventSplitter(Handler handler)
    : handler_(std::move(handler))
{
}

bool EventSplitter::feed(std::string_view bytes)
{
    pending_.append(bytes);
    std::size_t start = 0;
    std::size_t from = scanned_;
    while (true) {
        std::size_t end = pending_.find('\n', from);
        if (end == std::string::npos)
            break;
        std::size_t next = end + 1;
        if (next < pending_.size() && pending_[next] == '\r')
            ++next;
        if (next >= pending_.size())
            break;
        if (pending_[next] != '\n') {
            from = end + 1;
            continue;
        }
        dispatch(std::string_view(pending_).substr(start, next + 1 - start));
        start = next + 1;
        from = start;
    }
    pending_.erase(0, start);
    // A blank line may be split between two reads, so the last two bytes are scanned again.
    scanned_ = pending_.size() > 2 ? pending_.size() - 2 : 0;
    return pending_.size() <= maxEventBytes;
}

void EventSplitter::dispatch(std::string_view event)
{
    handler_({ event, eventId(event) });
}

}

#include "Forwarding/EventSplitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Damaskgrade {

namespace {

// Far above the size of any event of a model engine. Limits the memory that a faulty server can occupy.
constexpr std::size_t maxEventBytes = 1024 * 1024;

constexpr std::string_view lineEnds = "\r\n";

std::optional<std::uint64_t> eventId(std::string_view event)
{
    while (!event.empty()) {
        std::string_view line = event.substr(0, event.find_first_of(lineEnds));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (line.substr(0, 3) != "id:")
            continue;
        line.remove_prefix(3);
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t value = 0;
        std::from_chars_result result = std::from_chars(line.data(), line.data() + line.size(), value);
        if (result.ec == std::errc())
            return value;
    }
    return std::nullopt;
}

bool isField(std::string_view line)
{
    return !line.empty() && line.front() != ':';
}

}

EventSplitter::EventSplitter(Handler handler)
    : handler_(std::move(handler))
{
}

bool EventSplitter::feed(std::string_view bytes)
{
    pending_.append(bytes);
    while (true) {
        std::size_t end = lineEnd();
        if (end == std::string::npos) {
            scanned_ = pending_.size();
            break;
        }
        std::size_t next = nextLine(end);
        if (next == std::string::npos) {
            scanned_ = end;
            break;
        }
        endLine(end, next);
    }
    pending_.erase(0, eventStart_);
    lineStart_ -= eventStart_;
    scanned_ -= eventStart_;
    eventStart_ = 0;
    return pending_.size() <= maxEventBytes;
}

std::size_t EventSplitter::lineEnd() const
{
    return pending_.find_first_of(lineEnds, scanned_);
}

// Returns where the line behind a line end begins, or npos if that depends on bytes which have not arrived: a CR may be the first
// half of a CRLF. In a stream whose lines end with CR, the next byte may take long to arrive.
std::size_t EventSplitter::nextLine(std::size_t end) const
{
    if (pending_[end] == '\n')
        return end + 1;
    if (end + 1 == pending_.size())
        return linesEndWithCr_ ? end + 1 : std::string::npos;
    return end + (pending_[end + 1] == '\n' ? 2 : 1);
}

void EventSplitter::endLine(std::size_t end, std::size_t next)
{
    std::string_view text = line(end);
    bool isEmpty = text.empty();
    bool isComment = !isEmpty && !isField(text);
    hasField_ = hasField_ || isField(text);
    hasComment_ = hasComment_ || isComment;
    if (pending_[end] == '\r')
        linesEndWithCr_ = next == end + 1;
    lineStart_ = next;
    scanned_ = next;
    if (isEmpty && (hasField_ || hasComment_))
        dispatch(next);
}

void EventSplitter::dispatch(std::size_t end)
{
    std::string_view event = std::string_view(pending_).substr(eventStart_, end - eventStart_);
    eventStart_ = end;
    hasField_ = false;
    hasComment_ = false;
    handler_({ event, eventId(event) });
}

bool EventSplitter::isInsideEvent() const
{
    // A line end that is still there is a CR whose LF, if it has one, has not arrived.
    std::size_t end = lineEnd();
    bool isLineEnded = end != std::string::npos;
    std::string_view text = line(isLineEnded ? end : pending_.size());
    bool isEventEnded = isLineEnded && text.empty();
    return isField(text) || (hasField_ && !isEventEnded);
}

std::string EventSplitter::finish()
{
    std::size_t end = lineEnd();
    bool isWaitingForLf = end != std::string::npos;
    if (isWaitingForLf)
        endLine(end, end + 1);
    return pending_.substr(eventStart_);
}

}

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Damaskgrade {

// One complete event of a stream with its bytes unchanged. Empty lines and comments before the event are part of it.
struct RawEvent {
    std::string_view bytes;
    // Absent if the event has no numeric id.
    std::optional<std::uint64_t> id;
};

// Splits an event stream (text/event-stream) into complete events without changing their bytes. Lines end with CR, LF or CRLF;
// an empty line ends an event. A comment that is followed by an empty line counts as an event without an id.
class EventSplitter {
public:
    using Handler = std::function<void(const RawEvent&)>;

    explicit EventSplitter(Handler handler);

    // Calls the handler for each event that the bytes complete. Returns false once an event exceeds the size limit.
    bool feed(std::string_view bytes);

    // Returns whether the bytes so far end in the middle of an event: a field has been read that no empty line follows.
    bool isInsideEvent() const;

    // Returns whether the stream is whole if it ends here. If only the end of its connection marks the end of the stream, it must
    // not end within a line either, which nothing else tells from a stream that was broken off.
    bool mayEnd(bool endsWithConnection) const { return !isInsideEvent() && !(endsWithConnection && isInsideLine()); }

    // Ends the stream. Calls the handler for a last event whose empty line ended with the first half of a CRLF. Returns the bytes
    // behind the last event.
    std::string finish();

private:
    bool isInsideLine() const { return lineStart_ < pending_.size(); }
    // Returns the current line up to this position.
    std::string_view line(std::size_t end) const { return std::string_view(pending_).substr(lineStart_, end - lineStart_); }
    // Returns the position of the first CR or LF that has not been handled, or npos.
    std::size_t lineEnd() const;
    std::size_t nextLine(std::size_t end) const;
    void endLine(std::size_t end, std::size_t next);
    void dispatch(std::size_t end);

    Handler handler_;
    // The bytes behind the last event that was passed to the handler.
    std::string pending_;
    std::size_t eventStart_ { 0 };
    std::size_t lineStart_ { 0 };
    // The bytes of the line before this position contain no line end.
    std::size_t scanned_ { 0 };
    // What the lines since the last event contain.
    bool hasComment_ { false };
    bool hasField_ { false };
    // The last line that ended with CR ended with CR alone.
    bool linesEndWithCr_ { false };
};

}

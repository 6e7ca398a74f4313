#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Damaskgrade {

// One complete event of a stream with its bytes unchanged.
struct RawEvent {
    std::string_view bytes;
    // Absent if the event has no numeric id.
    std::optional<std::uint64_t> id;
};

// Splits an event stream into complete events without changing their bytes.
class EventSplitter {
public:
    using Handler = std::function<void(const RawEvent&)>;

    explicit EventSplitter(Handler handler);

    // Calls the handler for each event that the bytes complete. Returns false once an event exceeds the size limit.
    bool feed(std::string_view bytes);

    // Returns whether the bytes so far end in the middle of an event.
    bool isInsideEvent() const { return !pending_.empty(); }

private:
    void dispatch(std::string_view event);

    Handler handler_;
    std::string pending_;
    std::size_t scanned_ { 0 };
};

}

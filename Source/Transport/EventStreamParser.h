#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Damaskgrade {

struct ServerSentEvent {
    // The event id, or empty if the event has none.
    std::string id;
    // The event type, or empty if the event has none.
    std::string event;
    std::string data;
};

// Incremental parser for a stream of server-sent events. Ignores comments and unknown fields.
class EventStreamParser {
public:
    using Handler = std::function<void(const ServerSentEvent&)>;

    explicit EventStreamParser(Handler handler);

    // Parses the next bytes and calls the handler for each event that they complete.
    // Throws Error(MalformedRequest) if a line exceeds 1 MiB.
    void feed(std::string_view bytes);

private:
    void handleLine(std::string_view line);
    void dispatch();

    Handler handler_;
    std::string line_;
    ServerSentEvent event_;
    bool hasData_ { false };
};

// Returns the wire format of an event. Omits the id and the type if they are empty.
std::string formatServerSentEvent(const ServerSentEvent& event);

}

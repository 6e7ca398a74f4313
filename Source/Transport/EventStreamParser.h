#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Damaskgrade {

struct ServerSentEvent {
    // Empty if the event has none.
    std::string id;
    std::string event;
    std::string data;
};

// Splits a stream of server-sent events. Comments and unknown fields are ignored.
class EventStreamParser {
public:
    using Handler = std::function<void(const ServerSentEvent&)>;

    explicit EventStreamParser(Handler handler);

    // Takes the next bytes and passes on each event that they complete.
    // Throws Error(MalformedRequest) if a line exceeds one MiB.
    void feed(std::string_view bytes);

private:
    void handleLine(std::string_view line);
    void dispatch();

    Handler handler_;
    std::string line_;
    ServerSentEvent event_;
    bool hasData_ { false };
};

// Returns the text form of an event. Empty fields are left out.
std::string formatServerSentEvent(const ServerSentEvent& event);

}

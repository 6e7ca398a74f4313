#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Damaskgrade {

struct ServerSentEvent {
    // The last id that the stream has set.
    std::string id;
    // "message" unless the event names another.
    std::string type { "message" };
    std::string data;
};

// Splits a stream of server-sent events, which may arrive cut at any byte.
class ServerSentEventParser {
public:
    explicit ServerSentEventParser(std::function<void(const ServerSentEvent&)> onEvent);

    void feed(std::string_view bytes);

private:
    void readLine(std::string_view line);
    void dispatch();

    std::function<void(const ServerSentEvent&)> onEvent_;
    std::string pending_;
    ServerSentEvent event_;
    bool hasData_ { false };
};

// Returns the text form of an event. The id is left out if it is empty.
std::string formatServerSentEvent(const ServerSentEvent& event);

}

#include "Transport/EventStreamParser.h"
#include "Core/Error.h"

#include <doctest/doctest.h>

#include <vector>

namespace Damaskgrade {

// Guards against events that are lost or merged when they are received in several parts.
TEST_CASE("events are the same wherever the stream is split")
{
    const std::string stream = ": comment\nid: r/a/3\nevent: part\ndata: one\ndata:two\r\n\r\n\nretry: 5\n\ndata: [DONE]\n\ndata: cut";
    for (std::size_t split = 0; split <= stream.size(); ++split) {
        std::vector<ServerSentEvent> events;
        EventStreamParser parser([&](const ServerSentEvent& event) { events.push_back(event); });
        parser.feed(std::string_view(stream).substr(0, split));
        parser.feed(std::string_view(stream).substr(split));
        REQUIRE(events.size() == 2);
        CHECK(events[0].id == "r/a/3");
        CHECK(events[0].event == "part");
        CHECK(events[0].data == "one\ntwo");
        CHECK(events[1].id.empty());
        CHECK(events[1].data == "[DONE]");
    }
}

// Guards against unbounded memory use if a sender never ends a line.
TEST_CASE("a line of more than 1 MiB is rejected")
{
    EventStreamParser parser([](const ServerSentEvent&) {});
    std::string block(1024 * 1024, 'x');
    parser.feed(block);
    CHECK_THROWS_AS(parser.feed("x"), Error);
}

// Guards against data that contains a line feed and therefore ends the event early.
TEST_CASE("a formatted event is parsed into the original event")
{
    std::vector<ServerSentEvent> events;
    EventStreamParser parser([&](const ServerSentEvent& event) { events.push_back(event); });
    parser.feed(formatServerSentEvent({ "7", "error", "one\ntwo\n" }));
    REQUIRE(events.size() == 1);
    CHECK(events[0].id == "7");
    CHECK(events[0].event == "error");
    CHECK(events[0].data == "one\ntwo\n");
}

}

#include "Transport/ServerSentEventParser.h"

#include <doctest/doctest.h>

#include <vector>

namespace Damaskgrade {

// Guards against text that is lost or doubled where the network cuts the stream.
TEST_CASE("events survive any cut of the stream")
{
    std::string text = formatServerSentEvent({ "7", "message", "one\ntwo" }) + ": comment\n\n" + formatServerSentEvent({ "", "error", "{}" });
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        std::vector<ServerSentEvent> events;
        ServerSentEventParser parser([&events](const ServerSentEvent& event) { events.push_back(event); });
        parser.feed(std::string_view(text).substr(0, cut));
        parser.feed(std::string_view(text).substr(cut));
        REQUIRE(events.size() == 2);
        CHECK(events[0].data == "one\ntwo");
        CHECK(events[0].id == "7");
        CHECK(events[1].type == "error");
        CHECK(events[1].data == "{}");
    }
}

}

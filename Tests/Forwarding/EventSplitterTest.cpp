#include "Forwarding/EventSplitter.h"

#include "Core/Random.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace Damaskgrade {

// Guards against events that are split, joined or modified depending on the sizes of the reads.
TEST_CASE("events are complete and unchanged however their bytes are split")
{
    std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: x\ndata: y\n\n";
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        std::string joined;
        std::vector<std::uint64_t> ids;
        int events = 0;
        EventSplitter splitter([&](const RawEvent& event) {
            joined += event.bytes;
            ++events;
            if (event.id)
                ids.push_back(*event.id);
        });
        std::size_t position = 0;
        while (position < stream.size()) {
            std::size_t count = 1 + random.index(7);
            CHECK(splitter.feed(std::string_view(stream).substr(position, count)));
            position += count;
        }
        CHECK(joined == stream);
        CHECK(events == 4);
        CHECK(ids == std::vector<std::uint64_t> { 1, 2, 3 });
        CHECK(!splitter.isInsideEvent());
    }
}

// Guards against an incomplete event that is passed to the handler.
TEST_CASE("an incomplete event is not passed to the handler")
{
    int events = 0;
    EventSplitter splitter([&events](const RawEvent&) { ++events; });
    splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n");
    CHECK(events == 1);
    CHECK(splitter.isInsideEvent());
}

}

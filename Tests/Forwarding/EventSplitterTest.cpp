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

// Guards against events that are split, joined or modified depending on the ends of the lines or on empty lines between them.
TEST_CASE("events are complete and unchanged however their lines end")
{
    for (const std::string& stream : std::vector<std::string> {
             "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n: comment\r\n\r\n\r\nid: 3\r\ndata\r\n\r\n",
             "id: 1\rdata: a\r\rid: 2\r\r: comment\r\r\rid: 3\rdata\r\r",
             "\n\nid: 1\ndata: a\n\n\n\n: comment\nid: 2\n\n\n: comment\n\n\nid: 3\n\n" }) {
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            CAPTURE(stream);
            CAPTURE(seed);
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
            CHECK(events == 4);
            CHECK(ids == std::vector<std::uint64_t> { 1, 2, 3 });
            CHECK(joined == stream);
            CHECK(splitter.mayEnd(false));
            CHECK(splitter.mayEnd(true));
            CHECK(splitter.finish().empty());
        }
    }
}

// Guards against an event that is passed on only with the next one, because its last byte may be the first half of a line end.
TEST_CASE("in a stream whose lines end with CR an event is passed on with its last byte")
{
    int events = 0;
    EventSplitter splitter([&events](const RawEvent&) { ++events; });
    splitter.feed("id: 1\rdata: a\r");
    CHECK(events == 0);
    splitter.feed("\r");
    CHECK(events == 1);
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

// Guards against whole streams that are cut because of bytes that are no event, and against broken ones that pass for whole.
TEST_CASE("a stream may end behind its last event with empty lines and comments, but not within an event")
{
    struct Case {
        std::string end;
        bool mayEndByFraming;
        bool mayEndWithConnection;
        int events { 1 };
    };
    const std::string event = "id: 1\ndata: a\n\n";
    for (const Case& stream : std::vector<Case> {
             { event, true, true }, { event + "\n", true, true }, { event + "\n\n\n", true, true }, { event + "\r", true, false }, { event + "\r\n", true, true },
             { event + "\r\r\r\n\n", true, true }, { event + ": comment\n", true, true }, { event + ":\r\n", true, true }, { event + ": comment\n: another\n\n", true, true, 2 },
             { event + ": com", true, false }, { event + ":", true, false }, { event + "\n: comment\n: com", true, false }, { event + ": comment\r", true, false },
             { "id: 1\r\ndata: a\r\n\r\n", true, true }, { "id: 1\r\ndata: a\r\n\r", true, false }, { "id: 1\rdata: a\r\r", true, true },
             { "id: 1\r\ndata: a\r\n", false, false, 0 }, { "id: 1\r\ndata: a\r", false, false, 0 }, { "id: 1\rdata: a\r", false, false, 0 },
             { event + "i", false, false }, { event + "id: 2", false, false }, { event + "id: 2\n", false, false }, { event + "data\n", false, false }, { event + "data: b", false, false },
             { event + "retry: 10\n", false, false }, { event + "other: x\n", false, false }, { event + " ", false, false }, { event + "\nid: 2\n", false, false },
             { event + ": comment\nid: 2\n: comment\n", false, false }, { event + "id: 2\n: com", false, false }, { event + "id: 2\n\n", true, true, 2 } }) {
        CAPTURE(stream.end);
        int events = 0;
        std::string passedOn;
        EventSplitter splitter([&](const RawEvent& passed) {
            ++events;
            passedOn += passed.bytes;
        });
        for (char byte : stream.end)
            splitter.feed(std::string_view(&byte, 1));
        CHECK(splitter.mayEnd(false) == stream.mayEndByFraming);
        CHECK(splitter.mayEnd(true) == stream.mayEndWithConnection);
        if (!stream.mayEndByFraming)
            continue;
        passedOn += splitter.finish();
        CHECK(events == stream.events);
        CHECK(passedOn == stream.end);
    }
}

// Guards against memory that a stream of empty lines and comments fills.
TEST_CASE("empty lines and comments without an event are bounded as an event is")
{
    for (const char* line : { "\n", ": comment\n", "\r" }) {
        EventSplitter splitter([](const RawEvent&) {});
        bool isWithinLimit = true;
        std::size_t lines = 0;
        while (isWithinLimit && lines < 3000000) {
            ++lines;
            isWithinLimit = splitter.feed(line);
        }
        CHECK(!isWithinLimit);
    }
}

}

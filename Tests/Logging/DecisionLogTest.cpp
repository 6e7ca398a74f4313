#include "Logging/DecisionLog.h"

#include "Core/ManualClock.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <array>
#include <sstream>
#include <string>

namespace Damaskgrade {

namespace {

struct Pipe {
    Pipe() { REQUIRE(::pipe(ends.data()) == 0); }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string readAll() const
    {
        std::string text(1 << 20, '\0');
        ssize_t count = ::read(ends[0], text.data(), text.size());
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }

    std::array<int, 2> ends {};
};

}

// Guards against a process that blocks because nobody reads its log.
TEST_CASE("with a full pipe, lines are dropped and counted, and writing never blocks")
{
    Pipe pipe;
    ManualClock clock;
    DecisionLogSettings settings;
    settings.linesPerSecond = 1e9;
    settings.burstLines = 1e9;
    DecisionLog log(clock, pipe.ends[1], "p", settings);
    for (int i = 0; i < 20000; ++i)
        log.write(LogLine("event").add("number", i));
    CHECK(log.droppedLines() > 0);
    CHECK(log.droppedLines() + log.writtenLines() == 20000);
    pipe.readAll();
    log.flush();
    pipe.readAll();
    log.write(LogLine("after"));
    std::istringstream lines(pipe.readAll());
    std::string line;
    std::string last;
    while (std::getline(lines, line))
        last = line;
    CHECK(nlohmann::json::parse(last).at("droppedLines").get<std::uint64_t>() == log.droppedLines());
}

// Guards against a log whose volume grows with the load.
TEST_CASE("lines above the rate limit are dropped and counted")
{
    Pipe pipe;
    ManualClock clock;
    DecisionLogSettings settings;
    settings.linesPerSecond = 10;
    settings.burstLines = 5;
    DecisionLog log(clock, pipe.ends[1], "p", settings);
    for (int i = 0; i < 100; ++i)
        log.write(LogLine("event"));
    CHECK(log.writtenLines() == 5);
    clock.advance(std::chrono::seconds(1));
    log.write(LogLine("event"));
    CHECK(log.writtenLines() == 6);
}

// Guards against lines that a tool can't parse.
TEST_CASE("a line is one JSON object regardless of its values")
{
    Pipe pipe;
    ManualClock clock;
    DecisionLog log(clock, pipe.ends[1], "na\"me");
    log.write(LogLine("event").add("text", "a\"b\nc\xff").add("flag", true).add("number", 7));
    nlohmann::json json = nlohmann::json::parse(pipe.readAll());
    CHECK(json.at("process") == "na\"me");
    CHECK(json.at("event") == "event");
    CHECK(json.at("flag") == true);
    CHECK(json.at("number") == 7);
}

}

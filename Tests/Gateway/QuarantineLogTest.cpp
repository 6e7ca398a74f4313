#include "Gateway/QuarantineLog.h"

#include "Core/ManualClock.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <unistd.h>

namespace Damaskgrade {

namespace {

std::size_t countOf(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
        ++count;
    return count;
}

}

// Guards against a crash whose many prompt parts displace all other lines of the log.
TEST_CASE("of the events of one turn a few of each kind get a line, and the others are counted")
{
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    ManualClock clock;
    DecisionLog decisionLog(clock, ends[1], "p");
    QuarantineLog log(decisionLog);
    for (PromptPart part = 1; part <= 1400; ++part)
        log.record(part, QuarantineEvent::Suspected, 1, true);
    log.record(7, QuarantineEvent::Blocked, 2, false);
    log.flush();
    log.record(8, QuarantineEvent::Suspected, 1, true);
    log.flush();
    decisionLog.flush();
    std::array<char, 65536> buffer {};
    std::string text(buffer.data(), static_cast<std::size_t>(::read(ends[0], buffer.data(), buffer.size())));
    ::close(ends[0]);
    ::close(ends[1]);
    // 16 and one, and one that names the kind of the omitted ones.
    CHECK(countOf(text, "\"promptPartSuspected\"") == 18);
    CHECK(countOf(text, "\"promptPartBlocked\"") == 1);
    CHECK(countOf(text, "\"promptPartEventsOmitted\"") == 1);
    CHECK(text.find("\"count\":1384") != std::string::npos);
    CHECK(text.find("\"promptPart\":\"8\"") != std::string::npos);
}

}

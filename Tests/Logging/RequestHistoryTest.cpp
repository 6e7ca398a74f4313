#include "Logging/RequestHistory.h"

#include <doctest/doctest.h>

#include <sstream>

namespace Damaskgrade {

namespace {

// Lines in the form recorded during a failure exercise: several processes, with the prefix of a log collector.
constexpr const char* recordedLog = R"(   36.24 edge-c {"ms":1000,"process":"edge-c","event":"catalogInForce","catalog":7,"routes":12}
   36.24 edge-c {"ms":2242,"process":"edge-c","event":"attemptEnded","request":"be8a","server":"i-0a","reason":"server refused","attempt":1,"executed":"no","status":421}
   36.25 edge-c {"ms":2247,"process":"edge-c","event":"requestEnded","request":"be8a","outcome":"refused","code":2006,"reason":"no server is free","droppedLines":3}
text of a library
   37.00 edge-a {"ms":3000,"process":"edge-a","event":"requestEnded","request":"77","outcome":"streamCut","code":3005,"reason":"route timeout","events":9}
   37.10 side-a {"ms":2900,"process":"side-a","event":"mapChange","decision":"change started","group":"g","version":3}
   38.00 edge-a {"ms":3900,"process":"edge-a","event":"requestEnded","request":"88","outcome":"answered","code":0,"reason":"","events":9,"firstEventMs":150,"longestPauseMs":143}
   39.00 edge-a {"ms":90000,"process":"edge-a","event":"requestEnded","request":"99","outcome":"answered","code":0,"reason":"","callerAgeMs":900,"waitedMs":230,"events":9,"firstEventMs":420,"longestPauseMs":70}
)";

RequestHistory find(const char* id)
{
    std::istringstream log(recordedLog);
    RequestHistoryReader reader;
    reader.read(log);
    return reader.find(id);
}

}

// Guards against an explanation that mixes up requests, or that omits the attempt that caused the outcome.
TEST_CASE("the history of a refused request contains its attempts and its cause")
{
    RequestHistory history = find("be8a");
    CHECK(history.entries.size() == 2);
    CHECK(history.droppedLines == 3);
    CHECK(history.cause == "refused as not executed: no server is free after server refused; beside it: catalogInForce at edge-c");
}

// Guards against a cause that omits the interruption, the delays or the nearby map change.
TEST_CASE("the histories of an interrupted and of a slow stream contain their causes")
{
    CHECK(find("77").cause == "stream cut: route timeout; beside it: mapChange at side-a");
    CHECK(find("99").cause == "first event after 420 ms, longest pause 70 ms, waited 230 ms for a server, first asked 900 ms before");
    CHECK(find("88").cause == "first event after 150 ms, longest pause 143 ms; beside it: mapChange at side-a");
}

// Guards against a history that is made up for an unknown request.
TEST_CASE("a request that is in no log is reported as unknown")
{
    CHECK(find("none").entries.empty());
    CHECK(find("none").cause.substr(0, 36) == "no line of these logs names the requ");
}

}

#include "Logging/GroupHistory.h"

#include <doctest/doctest.h>

#include <sstream>

namespace Damaskgrade {

namespace {

// Lines in the form recorded during a failure exercise, of two agents and out of order.
constexpr const char* recordedLog = R"(   1.89 side-a-1 {"ms":1890,"process":"side-a-1","event":"controlTaken","group":"g0-0","term":2,"mayPlan":true}
   2.80 side-a-1 {"ms":2800,"process":"side-a-1","event":"mapChange","decision":"change started","group":"g0-0","version":20000,"pass":28,"term":2,"epoch":1}
   3.57 side-a-1 {"ms":3576,"process":"side-a-1","event":"mapChange","decision":"change completed","group":"g0-0","version":20000,"pass":42,"term":2,"epoch":1}
   3.10 side-a-2 {"ms":3100,"process":"side-a-2","event":"rankOrder","kind":"arm","version":20000,"pass":42,"result":"unknown"}
   1.10 side-a-2 {"ms":1100,"process":"side-a-2","event":"controllerSuspected","group":"g0-0","controller":"side-a-3","term":1}
text of a library
   4.00 side-a-1 {"ms":4000,"process":"side-a-1","event":"mapChange","decision":"change started","group":"g0-0","version":20001,"pass":50,"term":2,"epoch":1}
   9.01 side-a-1 {"ms":9010,"process":"side-a-1","event":"mapChange","decision":"map was not loaded everywhere in time","group":"g0-0","version":20001,"pass":0,"term":2,"epoch":1}
   9.50 side-b-1 {"ms":9500,"process":"side-b-1","event":"controlTaken","group":"g1-0","term":1,"mayPlan":true}
)";

}

// Guards against a summary that mixes up groups, or that counts a change that was given up as completed.
TEST_CASE("the history of a group's control counts its terms, changes and failures")
{
    std::istringstream log(recordedLog);
    GroupHistoryReader reader;
    reader.read(log);
    CHECK(reader.groups() == std::vector<std::string> { "g0-0", "g1-0" });
    GroupHistory history = reader.find("g0-0", 0, 100000);
    REQUIRE(history.entries.size() == 6);
    CHECK(history.entries.front().event == "controllerSuspected");
    CHECK(history.takeovers == 1);
    CHECK(history.suspicions == 1);
    CHECK(history.started == 2);
    CHECK(history.completed == 1);
    CHECK(history.durations == std::vector<std::int64_t> { 776 });
    std::string text = formatGroupHistory("g0-0", history);
    CHECK(text.find("group g0-0: 2 terms, control taken 1 times, controller suspected 1 times; 2 changes started, 1 completed in 776 ms on average, 776 ms at most; "
                    "1 ended: map was not loaded everywhere in time; 1 orders of all groups unknown\n")
        != std::string::npos);
    CHECK(reader.find("g0-0", 4000, 5000).entries.size() == 1);
    CHECK(reader.find("other", 0, 100000).entries.empty());
}

}

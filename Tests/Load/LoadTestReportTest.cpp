#include "Load/LoadTestReport.h"
#include "Core/Error.h"
#include "Load/ArrivalSchedule.h"
#include "Load/CompletionStreamValidator.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace Damaskgrade {

namespace {

LoadOptions makeOptions()
{
    LoadOptions options;
    options.entries = { { "127.0.0.1", 1 } };
    options.model = "m";
    options.service = "s";
    options.callsPerSecond = 100;
    options.duration = std::chrono::seconds(100);
    options.lookups = 2;
    options.bookings = 1;
    options.customers = { { "large", 3 }, { "small", 1 } };
    return options;
}

std::vector<Arrival> drawAll(const LoadOptions& options)
{
    ArrivalSchedule schedule(options);
    std::vector<Arrival> arrivals;
    while (std::optional<Arrival> arrival = schedule.next())
        arrivals.push_back(*arrival);
    return arrivals;
}

LoadResult makeResult(const std::string& customer, int milliseconds, bool isOnTime)
{
    LoadResult result;
    result.customer = customer;
    result.executed = Executed::Yes;
    result.total = std::chrono::milliseconds(milliseconds);
    result.isOnTime = isOnTime;
    return result;
}

}

// Guards against a load that differs from its options.
TEST_CASE("the schedule matches rate, shares and weights, and is reproducible from its seed")
{
    LoadOptions options = makeOptions();
    std::vector<Arrival> arrivals = drawAll(options);
    double count = static_cast<double>(arrivals.size());
    auto shareOf = [&](auto matches) { return static_cast<double>(std::count_if(arrivals.begin(), arrivals.end(), matches)) / count; };
    CHECK(count == doctest::Approx(10000).epsilon(0.05));
    CHECK(shareOf([](const Arrival& arrival) { return arrival.kind == LoadKind::Lookup; }) == doctest::Approx(0.5).epsilon(0.05));
    CHECK(shareOf([](const Arrival& arrival) { return arrival.customer == "large"; }) == doctest::Approx(0.75).epsilon(0.05));
    CHECK(drawAll(options).back().prompt == arrivals.back().prompt);
    CHECK(drawAll(options).back().offset == arrivals.back().offset);
    options.maxCalls = 7;
    CHECK(drawAll(options).size() == 7);
}

// Guards against a load test without calls because of an invalid rate.
TEST_CASE("options out of range are rejected")
{
    LoadOptions options = makeOptions();
    CHECK_NOTHROW(checkLoadOptions(options));
    options.callsPerSecond = 0;
    CHECK_THROWS_WITH_AS(checkLoadOptions(options), "the calls per second must be above 0", Error);
}

// Guards against percentiles that are off by one sample, and failures that are counted as fast responses.
TEST_CASE("the report counts outcomes and computes percentiles of successes")
{
    LoadTestReport report;
    for (int time = 1; time <= 100; ++time)
        report.add(makeResult("a", time, true));
    LoadResult refused = makeResult("b", 1000, false);
    refused.code = ResultCode::Overloaded;
    refused.executed = Executed::No;
    report.add(refused);
    CHECK(report.total().p50 == std::chrono::milliseconds(50));
    CHECK(report.total().p95 == std::chrono::milliseconds(95));
    CHECK(report.total().p99 == std::chrono::milliseconds(99));
    CHECK(report.outcomes(ResultCode::Overloaded, Executed::No) == 1);
    CHECK(report.onTime() == 100);
    CHECK(report.fairness() == doctest::Approx(0.5));
    CHECK(report.formatText().find("completion 2006 Overloaded executed=no: 1\n") != std::string::npos);
    CHECK(report.formatJson().find("\"calls\": 101") != std::string::npos);
}

// Guards against lost, duplicated or additional parts that are not detected.
TEST_CASE("parts must be contiguous and nothing must follow the end")
{
    CompletionStreamValidator complete;
    CHECK(complete.addEvent({ "r/a/0", "", R"({"offset":0,"text":"one "})" }));
    CHECK(complete.addEvent({ "r/a/4", "", R"({"choices":[{"text":"two"}]})" }));
    CHECK_FALSE(complete.addEvent({ "", "", "[DONE]" }));
    CHECK(complete.text() == "one two");
    CHECK(complete.lastId() == "r/a/4");
    CHECK(complete.isDone());
    CHECK_FALSE(complete.isMalformed());
    complete.addEvent({ "", "", R"({"text":"more"})" });
    CHECK(complete.isMalformed());

    CompletionStreamValidator gap;
    gap.addEvent({ "", "", R"({"offset":3,"text":"x"})" });
    CHECK(gap.isMalformed());

    CompletionStreamValidator failed;
    failed.addEvent({ "", "error", R"({"code":3005,"executed":"no"})" });
    CHECK(failed.error().code == ResultCode::StreamInterrupted);
    CHECK(failed.error().executed == Executed::No);
}

}

#include "Process/CallerRequests.h"
#include "Process/TestDeployment.h"

#include <doctest/doctest.h>

#include <csignal>

namespace Damaskgrade {

namespace {

// Long enough that the test usually acts while the booking runs. No check depends on this.
constexpr int slowServiceMilliseconds = 700;

// Returns whether the executed field of the response is consistent with the number of executions.
bool hasCorrectExecutedField(const CallerResult& result, std::uint64_t executions)
{
    if (result.executed == "yes")
        return executions == 1;
    return result.executed == "unknown" || executions == 0;
}

}

// Guards against an entry that reports a call as not executed because the connection to the agent was lost.
TEST_CASE("a booking whose agent is killed is never reported as not executed")
{
    DeploymentOptions options;
    options.entries = 2;
    options.serviceMilliseconds = slowServiceMilliseconds;
    TestDeployment deployment(options);
    std::future<CallerResult> first = startCall(deployment.entry(1), bookingRequest("k"));
    REQUIRE(waitUntil([&] { return deployment.executions("k") == 1; }));
    deployment.process("agent-application-1").signal(SIGKILL);
    CHECK(first.get().executed != "no");
    CHECK(callEntry(deployment.entry(2), retriedBooking("k")).executed != "no");
    CHECK(deployment.executions("k") == 1);
    // The restarted agent has no record of the call.
    deployment.startAgent("application-1");
    REQUIRE(waitUntil([&] { return deployment.isReady(2); }));
    CHECK(callEntry(deployment.entry(2), retriedBooking("k")).executed != "no");
    CHECK(deployment.executions("k") == 1);
}

// Guards against an agent that continues after a process pause and starts a call that another entry has resolved meanwhile.
TEST_CASE("a booking that is retried while its agent is stopped is executed at most once")
{
    DeploymentOptions options;
    options.entries = 2;
    options.serviceMilliseconds = slowServiceMilliseconds;
    TestDeployment deployment(options);
    ChildProcess& agent = deployment.process("agent-application-1");
    std::string key;
    std::future<CallerResult> first;
    SUBCASE("the call reaches the stopped agent")
    {
        key = "before";
        agent.signal(SIGSTOP);
        first = startCall(deployment.entry(1), bookingRequest(key));
        REQUIRE(waitUntil([&] { return deployment.metric("entry-1", "damaskgrade_calls_sent_total") >= 1; }));
    }
    SUBCASE("the agent is stopped while the engine executes the call")
    {
        key = "during";
        first = startCall(deployment.entry(1), bookingRequest(key));
        REQUIRE(waitUntil([&] { return deployment.executions(key) == 1; }));
        agent.signal(SIGSTOP);
    }
    std::future<CallerResult> second = startCall(deployment.entry(2), retriedBooking(key));
    REQUIRE(waitUntil([&] { return deployment.metric("entry-2", "damaskgrade_calls_active") >= 1; }));
    agent.signal(SIGCONT);
    CallerResult firstResult = first.get();
    CallerResult secondResult = second.get();
    std::uint64_t executions = deployment.executions(key);
    CHECK(executions <= 1);
    CHECK_MESSAGE(hasCorrectExecutedField(firstResult, executions), firstResult.body);
    CHECK_MESSAGE(hasCorrectExecutedField(secondResult, executions), secondResult.body);
    if (firstResult.status == 200 && secondResult.status == 200)
        CHECK(firstResult.body == secondResult.body);
    CallerResult last = callEntry(deployment.entry(2), retriedBooking(key));
    CHECK_MESSAGE(last.status == 200, last.body);
    CHECK(deployment.executions(key) == 1);
}

// Guards against a booking that is lost or executed twice if its entry is killed before it responds.
TEST_CASE("a booking whose entry is killed is completed by another entry and executed once")
{
    DeploymentOptions options;
    options.entries = 3;
    options.serviceMilliseconds = slowServiceMilliseconds;
    TestDeployment deployment(options);
    std::future<CallerResult> first;
    SUBCASE("before the call was sent to the agent")
    {
        // The platform writes the claim only after the entry has been killed.
        deployment.controlPlatform(R"({"stall":true})");
        first = startCall(deployment.entry(1), bookingRequest("k"));
        REQUIRE(waitUntil([&] { return deployment.metric("entry-1", "damaskgrade_claim_writes_total") >= 1; }));
        deployment.process("entry-1").signal(SIGKILL);
        deployment.controlPlatform(R"({"stall":false})");
    }
    SUBCASE("after the call was sent to the agent")
    {
        first = startCall(deployment.entry(1), bookingRequest("k"));
        REQUIRE(waitUntil([&] { return deployment.executions("k") == 1; }));
        deployment.process("entry-1").signal(SIGKILL);
    }
    CHECK(first.get().executed != "no");
    CallerResult retried;
    // A retry may be refused until the platform responds again and the ticket of the killed entry is resolved, but the
    // response must then be "not executed".
    CHECK(waitUntil([&] {
        retried = callEntry(deployment.entry(2), retriedBooking("k"));
        return retried.status == 200 || retried.executed == "no";
    }));
    CHECK_MESSAGE(retried.status == 200, retried.body);
    CHECK(deployment.executions("k") == 1);
    CHECK(callEntry(deployment.entry(3), retriedBooking("k")).body == retried.body);
    CHECK(deployment.executions("k") == 1);
}

// Guards against an entry that treats a claim as not written because its acknowledgement was lost.
TEST_CASE("a booking is executed once if the acknowledgements of its claim are lost")
{
    TestDeployment deployment { DeploymentOptions() };
    std::string settings;
    SUBCASE("the connection is closed") { settings = R"({"lose_acknowledgements":1})"; }
    SUBCASE("the table responds that it is unavailable, then closes the connection") { settings = R"({"lose_acknowledgements":2})"; }
    deployment.controlPlatform(settings);
    CallerResult result = callEntry(deployment.entry(1), bookingRequest("k"));
    CHECK_MESSAGE(hasCorrectExecutedField(result, deployment.executions("k")), result.body);
    CallerResult retried = callEntry(deployment.entry(2), retriedBooking("k"));
    CHECK_MESSAGE(retried.status == 200, retried.body);
    CHECK(deployment.executions("k") == 1);
    if (result.status == 200)
        CHECK(result.body == retried.body);
}

}

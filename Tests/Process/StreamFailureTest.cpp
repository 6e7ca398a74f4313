#include "Process/CallerRequests.h"
#include "Process/StreamedCall.h"
#include "Process/SyncHttp.h"
#include "Process/TestDeployment.h"

#include <doctest/doctest.h>

#include <csignal>

namespace Damaskgrade {

namespace {

// About 1 s at 10 ms per step, so that the test usually acts in the middle of the stream. No check depends on this.
constexpr int manyTokens = 100;
constexpr const char* prompt = "Summarize the shortage notice for obsolete chips";

DeploymentOptions streamOptions()
{
    DeploymentOptions options;
    options.entries = 2;
    options.modelEngines = 2;
    options.applicationEngines = 0;
    return options;
}

// Returns the text of the same completion, requested without a stream and without failures.
std::string referenceText(const TestDeployment& deployment, int entry)
{
    return completionText(callEntry(deployment.entry(entry), completionRequest(prompt, manyTokens, false)));
}

}

// Guards against text that is lost or duplicated when a stream continues on another engine.
TEST_CASE("a stream whose engine is killed continues with the same text")
{
    TestDeployment deployment(streamOptions());
    StreamedCall stream(deployment.entry(1), completionRequest(prompt, manyTokens, true));
    REQUIRE(waitUntil([&] { return !stream.lastEventId().empty(); }));
    std::string killedAgent = stream.agent();
    deployment.process("engine-" + killedAgent).signal(SIGKILL);
    REQUIRE(waitUntil([&] { return stream.hasEnded(); }));
    CHECK(stream.isComplete());
    CHECK(stream.agent() != killedAgent);
    std::string expected = referenceText(deployment, 2);
    CHECK(!expected.empty());
    CHECK(stream.text() == expected);
}

// Guards against text that is lost or duplicated when a caller resumes its stream at another entry.
TEST_CASE("a stream whose entry is killed is resumed at another entry with the same text")
{
    DeploymentOptions options = streamOptions();
    options.entries = 3;
    TestDeployment deployment(options);
    StreamedCall stream(deployment.entry(1), completionRequest(prompt, manyTokens, true));
    REQUIRE(waitUntil([&] { return !stream.lastEventId().empty(); }));
    deployment.process("entry-1").signal(SIGKILL);
    REQUIRE(waitUntil([&] { return stream.hasEnded(); }));
    HttpRequest resume = completionRequest(prompt, manyTokens, true);
    resume.headers.push_back({ "Last-Event-ID", stream.lastEventId() });
    StreamedCall resumed(deployment.entry(2), resume);
    REQUIRE(waitUntil([&] { return resumed.hasEnded(); }));
    CHECK(resumed.isComplete());
    std::string expected = referenceText(deployment, 3);
    CHECK(!expected.empty());
    CHECK(stream.text() + resumed.text() == expected);
}

// Guards against an entry that exits with calls in flight, or accepts new calls while it shuts down.
TEST_CASE("an entry that shuts down finishes its calls, accepts no new ones and exits")
{
    DeploymentOptions options = streamOptions();
    options.applicationEngines = 1;
    options.serviceMilliseconds = 700;
    TestDeployment deployment(options);
    ChildProcess& entry = deployment.process("entry-1");
    StreamedCall stream(deployment.entry(1), completionRequest(prompt, manyTokens, true));
    std::future<CallerResult> booking = startCall(deployment.entry(1), bookingRequest("running"));
    REQUIRE(waitUntil([&] { return !stream.lastEventId().empty() && deployment.executions("running") == 1; }));
    entry.signal(SIGTERM);
    REQUIRE(waitUntil([&] { return callEntry(deployment.entry(1), lookupRequest()).status != 200; }));
    CallerResult refused = callEntry(deployment.entry(1), bookingRequest("late"));
    entry.signal(SIGTERM);
    // On a slow machine the entry may have exited already.
    if (refused.status != 0)
        CHECK(refused.executed == "no");
    CHECK(booking.get().status == 200);
    REQUIRE(waitUntil([&] { return stream.hasEnded(); }));
    CHECK(stream.isComplete());
    CHECK(entry.waitForExit() == 0);
    CHECK(stream.text() == referenceText(deployment, 2));
    CHECK(deployment.executions("running") == 1);
    CHECK(deployment.executions("late") == 0);
}

// Guards against an agent that exits with calls in flight, or starts new calls while it shuts down.
TEST_CASE("an agent that shuts down finishes its calls, starts no new ones and exits")
{
    DeploymentOptions options = streamOptions();
    options.applicationEngines = 2;
    options.serviceMilliseconds = 700;
    TestDeployment deployment(options);
    StreamedCall stream(deployment.entry(1), completionRequest(prompt, manyTokens, true));
    std::future<CallerResult> booking = startCall(deployment.entry(1), bookingRequest("running"));
    REQUIRE(waitUntil([&] { return !stream.lastEventId().empty() && deployment.executions("running") == 1; }));
    std::string model = stream.agent();
    std::string application = deployment.executionsAt("application-1", "running") == 1 ? "application-1" : "application-2";
    ChildProcess& modelAgent = deployment.process("agent-" + model);
    ChildProcess& applicationAgent = deployment.process("agent-" + application);
    for (int signals = 0; signals < 2; ++signals) {
        modelAgent.signal(SIGTERM);
        applicationAgent.signal(SIGTERM);
    }
    REQUIRE(waitUntil([&] { return getHttp(deployment.endpoint("agent-" + application), "/readyz").status != 200; }));
    for (int number = 0; number < 4; ++number) {
        std::string key = "late-" + std::to_string(number);
        CallerResult late = callEntry(deployment.entry(2), bookingRequest(key));
        CHECK_MESSAGE(late.status == 200, late.body);
        CHECK(deployment.executionsAt(application, key) == 0);
        CHECK(deployment.executions(key) == 1);
    }
    CHECK(booking.get().status == 200);
    REQUIRE(waitUntil([&] { return stream.hasEnded(); }));
    CHECK(stream.isComplete());
    CHECK(modelAgent.waitForExit() == 0);
    CHECK(applicationAgent.waitForExit() == 0);
    CHECK(stream.text() == referenceText(deployment, 2));
    CHECK(deployment.executions("running") == 1);
}

}

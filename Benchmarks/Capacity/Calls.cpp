#include "CallLoadSimulation.h"
#include "Sections.h"

#include <cstdio>

namespace Damaskgrade {

namespace {

constexpr std::chrono::seconds warmUp { 8 };
constexpr std::chrono::seconds measurementTime { 6 };
constexpr double tokensPerCall = targetTokensPerSecond / targetCallsPerSecond;
constexpr double callSeconds = tokensPerCall * 0.027;
constexpr std::size_t memoryMeasurementCalls = 1000;
constexpr std::size_t subsetAgents = 24;

void printConcurrency(std::size_t concurrent, double& previousPerToken)
{
    CallLoadSettings settings;
    settings.agents = subsetAgents;
    settings.sessionsPerAgent = 14;
    settings.slotsPerAgent = 160;
    settings.callsPerSecond = static_cast<double>(concurrent) / callSeconds;
    settings.tokensPerCall = static_cast<std::uint32_t>(tokensPerCall);
    CallLoadSimulation simulation(settings);
    simulation.advance(warmUp);
    CallLoadCounters before = simulation.counters();
    simulation.advance(measurementTime);
    CallLoadCounters after = simulation.counters();
    double seconds = static_cast<double>(measurementTime.count());
    double tokens = static_cast<double>(after.tokens - before.tokens);
    double entry = (after.entrySeconds - before.entrySeconds) / seconds;
    double agents = (after.agentSeconds - before.agentSeconds) / seconds;
    double perToken = (entry + agents) * seconds / tokens;
    double calls = static_cast<double>(after.succeeded - before.succeeded);
    std::printf("%10zu %8zu %9.1f %10.0f %12s %12s %14.2f %16.1f %12.1f %8llu\n", concurrent, simulation.activeCalls(), calls / seconds, tokens / seconds,
        formatCoreShare(entry).c_str(), formatCoreShare(agents).c_str(), previousPerToken > 0 ? perToken / previousPerToken : 1, static_cast<double>(after.answerBytes - before.answerBytes) / tokens,
        static_cast<double>(after.answerBytes - before.answerBytes) / seconds / 1e3, static_cast<unsigned long long>(after.failed));
    previousPerToken = perToken;
    std::fflush(stdout);
}

// Returns the bytes that the entry allocates for one active call. Frames are dropped, so that only the state of the
// entry is counted.
double entryBytesPerCall()
{
    ManualClock clock;
    Random random(1);
    HybridClock hybridClock(clock);
    SynchronousTable table;
    CallServiceHooks hooks;
    hooks.send = [](const std::string&, const Frame&) { return true; };
    hooks.configurationVersion = [] { return 1; };
    CallService service(clock, random, hybridClock, table, "zone", hooks);
    for (std::size_t index = 0; index < subsetAgents; ++index) {
        HelloMessage hello = makeHello("agent-" + std::to_string(index));
        service.agentConnected(hello);
        TicketsMessage tickets;
        tickets.session = 1;
        tickets.firstSequence = 1;
        tickets.count = memoryMeasurementCalls;
        service.receive(hello.name, encodeMessage(tickets, 1));
    }
    std::size_t before = allocatedBytes();
    for (std::size_t number = 0; number < memoryMeasurementCalls; ++number) {
        CallHandlers handlers;
        handlers.onText = [](std::string_view, const std::string&, std::uint64_t) {};
        handlers.onOutcome = [](const CallOutcome&) {};
        CallRequirements needs;
        needs.serves = "model";
        service.submit(makeCall(number, clock.now()), needs, handlers);
    }
    return (static_cast<double>(allocatedBytes()) - static_cast<double>(before)) / static_cast<double>(memoryMeasurementCalls);
}

// Bytes that an agent allocates for one call, when it is started and after it has finished.
struct AgentBytes {
    double started { 0 };
    double finished { 0 };
};

AgentBytes agentBytesPerCall()
{
    ManualClock clock;
    AgentCallsSettings settings;
    settings.slots = memoryMeasurementCalls;
    AgentCallsHooks hooks;
    hooks.startCall = [](RunId, const CallMessage&) {};
    hooks.cancelCall = [](RunId) {};
    hooks.send = [](std::uint64_t, const AgentMessage&) {};
    AgentCalls calls("agent", "incarnation", clock, settings, hooks);
    std::uint64_t session = calls.openSession();
    calls.tick();
    std::size_t before = allocatedBytes();
    for (std::size_t number = 1; number <= memoryMeasurementCalls; ++number) {
        CallMessage message;
        message.callId = makeCall(number, clock.now()).callId;
        message.attempt = 1;
        message.ticket = { "agent", "incarnation", session, number };
        message.timeLeft = std::chrono::minutes(1);
        message.configurationVersion = 1;
        message.payload = std::string(2000, 'p');
        calls.receiveCall(session, message, clock.now());
    }
    AgentBytes bytes;
    bytes.started = (static_cast<double>(allocatedBytes()) - static_cast<double>(before)) / memoryMeasurementCalls;
    if (calls.runningCalls() != memoryMeasurementCalls)
        std::printf("only %zu calls are running\n", calls.runningCalls());
    for (std::size_t number = 1; number <= memoryMeasurementCalls; ++number) {
        for (int token = 0; token < static_cast<int>(tokensPerCall); ++token)
            calls.engineText(number, "word ");
        calls.engineEnd(number, ResultCode::Ok, "");
    }
    bytes.finished = (static_cast<double>(allocatedBytes()) - static_cast<double>(before)) / memoryMeasurementCalls;
    return bytes;
}

}

void printCalls()
{
    std::printf("\nCalls with %.0f tokens each at one entry and its %zu agents; the share of one entry in R25 is %.1f calls/s and %.0f tokens/s\n", tokensPerCall, subsetAgents,
        targetCallsPerSecond / targetEntries, targetTokensPerSecond / targetEntries);
    std::printf("%10s %8s %9s %10s %12s %12s %14s %16s %12s %8s\n", "concurrent", "active", "calls/s", "tokens/s", "core, entry", "core, agents", "ratio a token", "bytes a token", "KB/s", "failed");
    double previousPerToken = 0;
    for (std::size_t concurrent : { 10, 100, 191, 1000 })
        printConcurrency(concurrent, previousPerToken);
    std::printf("Memory in bytes per call with a prompt of 2,000 bytes: entry %.0f;", entryBytesPerCall());
    AgentBytes agent = agentBytesPerCall();
    std::printf(" agent %.0f when started, %.0f when finished and retained for 60 s\n", agent.started, agent.finished);
}

}

#include "Entry/CallService.h"
#include "Core/ManualClock.h"

#include <doctest/doctest.h>

#include <memory>

namespace Damaskgrade {

namespace {

// A table that never responds. The calls of these tests don't depend on the table.
class UnresponsiveTable : public Table {
public:
    void read(const std::vector<std::string>&, std::function<void(const TableReadResult&)>) override { }
    void scan(const std::string&, std::function<void(const TableReadResult&)>) override { }
    void write(const std::vector<TableWrite>&, std::function<void(const TableWriteResult&)>) override { }
};

// A call service that records the frames sent to agents.
class CallServiceFixture {
public:
    CallServiceFixture()
        : hybridClock_(clock_)
        , service_(clock_, random_, hybridClock_, table_, "zone", hooks())
    {
    }

    void connect(const std::string& agent, const std::string& group)
    {
        HelloMessage hello;
        hello.name = agent;
        hello.incarnation = "1";
        hello.availabilityZone = "zone";
        hello.role = "agent";
        hello.engineKind = "model";
        hello.serves = "model";
        hello.group = group;
        service_.agentConnected(hello);
    }

    void report(const std::string& agent, std::uint64_t tickets, EngineHealth health)
    {
        TicketsMessage message;
        message.session = 1;
        message.firstSequence = nextTicket_;
        message.count = tickets;
        message.load.capacity = 8;
        message.health = health;
        nextTicket_ += tickets;
        service_.receive(agent, encodeMessage(message, 0));
    }

    void submit(const std::string& callId, const std::string& customer, bool mayBeRetry = false)
    {
        CallRequest request;
        request.callId = callId;
        request.customer = customer;
        request.payload = "{}";
        request.mayBeRetry = mayBeRetry;
        request.deadline = clock_.now() + std::chrono::seconds(20);
        CallRequirements requirements;
        requirements.serves = "model";
        CallHandlers handlers;
        handlers.onText = [](std::string_view, const std::string&, std::uint64_t) {};
        handlers.onOutcome = [this, callId](const CallOutcome& outcome) { outcomes_[callId] = outcome.code;
            executed_[callId] = outcome.executed; };
        service_.submit(std::move(request), std::move(requirements), std::move(handlers));
    }

    // Returns the agents that were sent a frame of this type, in order.
    std::vector<std::string> receivers(const std::string& type) const
    {
        std::vector<std::string> names;
        for (const auto& [agent, frameType] : sent_) {
            if (frameType == type)
                names.push_back(agent);
        }
        return names;
    }

    CallService& service() { return service_; }
    std::map<std::string, ResultCode>& outcomes() { return outcomes_; }
    std::map<std::string, Executed>& executed() { return executed_; }

private:
    CallServiceHooks hooks()
    {
        CallServiceHooks hooks;
        hooks.send = [this](const std::string& agent, const Frame& frame) {
            sent_.emplace_back(agent, frame.type);
            return true;
        };
        hooks.configurationVersion = [] { return std::uint64_t(1); };
        return hooks;
    }

    ManualClock clock_;
    Random random_ { 1 };
    HybridClock hybridClock_;
    UnresponsiveTable table_;
    std::uint64_t nextTicket_ { 1 };
    std::vector<std::pair<std::string, std::string>> sent_;
    std::map<std::string, ResultCode> outcomes_;
    std::map<std::string, Executed> executed_;
    CallService service_;
};

}

// Guards against calls that keep waiting at engines whose group is stalled by one unavailable rank. The agents
// of the other ranks still report load in that case.
TEST_CASE("an unavailable engine makes the calls of all engines of its group move to another group")
{
    CallServiceFixture test;
    test.connect("a1", "g1");
    test.connect("a2", "g1");
    test.report("a1", 2, EngineHealth::Good);
    test.submit("call", "customer");
    REQUIRE(test.receivers(CallMessage::type) == std::vector<std::string> { "a1" });
    test.connect("b1", "g2");
    test.report("b1", 2, EngineHealth::Good);
    test.report("a2", 2, EngineHealth::Unavailable);
    CHECK(test.receivers(CancelMessage::type) == std::vector<std::string> { "a1" });
    CHECK(test.receivers(CallMessage::type) == std::vector<std::string> { "a1", "b1" });
    CHECK(test.service().servers().find("a1")->isSuspected);
    test.report("a2", 0, EngineHealth::Good);
    CHECK(!test.service().servers().find("a1")->isSuspected);
}

// Guards against a configured limit that has no effect.
TEST_CASE("a customer has at most the configured number of calls in flight")
{
    CallServiceFixture test;
    Document document;
    document.customers["small"].maxInFlight = 1;
    document.customers["large"].maxInFlight = 5;
    test.service().configure(document);
    test.connect("a1", "g1");
    test.report("a1", 8, EngineHealth::Good);
    test.submit("first", "small");
    test.submit("second", "small");
    test.submit("third", "large");
    CHECK(test.outcomes().count("first") == 0);
    CHECK(test.outcomes()["second"] == ResultCode::CustomerLimitReached);
    CHECK(test.outcomes().count("third") == 0);
    CHECK(test.executed()["second"] == Executed::No);
    // An earlier attempt of a retried call may have been executed, so the refusal must not report otherwise.
    test.submit("repeat", "small", true);
    CHECK(test.outcomes()["repeat"] == ResultCode::CustomerLimitReached);
    CHECK(test.executed()["repeat"] == Executed::Unknown);
    test.service().cancel("first");
    test.submit("fourth", "small");
    CHECK(test.outcomes().count("fourth") == 0);
}

}

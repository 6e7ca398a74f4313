#include "Forwarding/ForwardingSimulation.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

namespace Damaskgrade {

namespace {

constexpr std::size_t serverCount = 3;

SelectionRule excludingRule(const std::set<std::string>& excluded, std::optional<Duration> retryAfter)
{
    SelectionRule rule;
    rule.name = "test";
    rule.assess = [&excluded, retryAfter](const ServerRecord& server, const ServerSelectionRequest&) {
        ServerAssessment assessment;
        assessment.isExcluded = excluded.count(server.id) != 0;
        assessment.retryAfter = retryAfter;
        return assessment;
    };
    return rule;
}

}

// Guards against a request that waits until its deadline although no server may be sent it.
TEST_CASE("a request that rules exclude from all servers is refused at once")
{
    ForwardingSimulation simulation(RequestKind::NonIdempotent, 2, serverCount);
    std::set<std::string> excluded { "s1", "s2", "s3" };
    simulation.addRule(excludingRule(excluded, std::nullopt));
    CHECK(simulation.start("1")->status() == 503);
    CHECK(simulation.sentRequests() == 0);
    CHECK(simulation.counters.refused == 1);
}

// Guards against the refusal of requests that a rule holds back for a moment only.
TEST_CASE("a request waits for a server that a rule excludes for a short time")
{
    ForwardingSimulation simulation(RequestKind::NonIdempotent, 2, serverCount);
    std::set<std::string> excluded { "s1", "s2", "s3" };
    simulation.addRule(excludingRule(excluded, std::chrono::milliseconds(100)));
    std::shared_ptr<SimulatedExchange> exchange = simulation.start("1");
    simulation.advance(std::chrono::milliseconds(100));
    CHECK(exchange->status() == 0);
    excluded.erase("s2");
    simulation.advance(std::chrono::milliseconds(100));
    CHECK(simulation.sentRequests() == 1);
}

// Guards against a request that reaches a server that was excluded while its connection was being opened.
TEST_CASE("a rule for open connections is applied before the request is sent on one")
{
    ForwardingSimulation simulation(RequestKind::NonIdempotent, 2, 1);
    std::set<std::string> excluded;
    SelectionRule rule = excludingRule(excluded, std::nullopt);
    rule.isAppliedToOpenConnections = true;
    rule.onSend = [&excluded](const ServerRecord& server, const ServerSelectionRequest&) { excluded.insert(server.id); };
    simulation.addRule(std::move(rule));
    CHECK(simulation.start("1")->status() == 503);
    CHECK(simulation.sentRequests() == 0);
}

// Guards against a rule's bound or cost that has no effect on the selection.
TEST_CASE("the capacity and the cost of rules take part in the selection")
{
    ForwardingSimulation simulation(RequestKind::NonIdempotent, 2, serverCount);
    SelectionRule rule;
    rule.name = "test";
    std::vector<std::string> sent;
    rule.assess = [](const ServerRecord& server, const ServerSelectionRequest&) {
        ServerAssessment assessment;
        assessment.capacity = 2;
        assessment.cost = server.id == "s2" ? -10 : 0;
        return assessment;
    };
    rule.onSend = [&sent](const ServerRecord& server, const ServerSelectionRequest&) { sent.push_back(server.id); };
    simulation.addRule(std::move(rule));
    for (int i = 0; i < 8; ++i)
        simulation.start(std::to_string(i));
    REQUIRE(sent.size() == 2 * serverCount);
    CHECK(sent[0] == "s2");
    CHECK(sent[1] == "s2");
}

}

#include "Membership/Membership.h"

#include "Core/Error.h"
#include "Core/ManualClock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <memory>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulates entries on one clock whose messages are delivered immediately.
class MembershipSimulation {
public:
    explicit MembershipSimulation(std::size_t count)
        : limits_(timeLimitsForSlots(count))
    {
        for (std::size_t index = 0; index < count; ++index)
            names_.push_back("entry-" + std::to_string(1000 + index));
        for (std::size_t index = 0; index < count; ++index)
            members_.push_back(std::make_unique<Membership>(MembershipSettings { names_[index], 1, names_, limits_ }, clock_, random_, hooks(index)));
        isDisconnected_.resize(count);
    }

    void run(Duration duration, Duration step = milliseconds(50))
    {
        for (Duration elapsed {}; elapsed < duration; elapsed += step) {
            clock_.advance(step);
            for (std::size_t index = 0; index < members_.size(); ++index) {
                // Entries start in successive steps, so that their gossip periods are not aligned.
                bool hasStarted = steps_ >= index % 10;
                if (!isDisconnected_[index] && hasStarted)
                    members_[index]->tick();
            }
            ++steps_;
        }
    }

    void setDisconnected(std::size_t index, bool isDisconnected = true) { isDisconnected_[index] = isDisconnected; }
    Membership& at(std::size_t index) { return *members_[index]; }
    const std::string& name(std::size_t index) const { return names_[index]; }
    std::size_t bytesSent() const { return bytesSent_; }
    std::size_t largestMessage() const { return largestMessage_; }
    const TimeLimits& limits() const { return limits_; }
    ManualClock& clock() { return clock_; }

    // Returns the median age of the information that this entry has of all slots, including itself.
    Duration medianAge(std::size_t index)
    {
        std::vector<Duration> ages;
        for (const std::string& slot : names_)
            ages.push_back(at(index).status(slot).age);
        std::sort(ages.begin(), ages.end());
        return ages[(ages.size() - 1) / 2];
    }

private:
    MembershipHooks hooks(std::size_t from)
    {
        MembershipHooks hooks;
        hooks.sendRequest = [this, from](const std::string& slot, const GossipRequest& request) {
            Frame frame = encodeMessage(request, 0);
            count(frame);
            deliver(from, slot, [&](Membership& peer) { peer.receive(names_[from], decodeGossipRequest(frame.body)); });
        };
        hooks.sendGossip = [this, from](const std::string& slot, const GossipMessage& message) {
            Frame frame = encodeMessage(message, 0);
            count(frame);
            deliver(from, slot, [&](Membership& peer) { peer.receive(names_[from], decodeGossip(frame.body)); });
        };
        hooks.onDigest = [](const std::string&, const std::string&, TimePoint) {};
        return hooks;
    }

    template <typename Action>
    void deliver(std::size_t from, const std::string& slot, const Action& action)
    {
        std::size_t to = static_cast<std::size_t>(std::find(names_.begin(), names_.end(), slot) - names_.begin());
        if (!isDisconnected_[from] && !isDisconnected_[to])
            action(*members_[to]);
    }

    void count(const Frame& frame)
    {
        std::size_t size = encodeFrame(frame).size();
        bytesSent_ += size;
        largestMessage_ = std::max(largestMessage_, size);
    }

    TimeLimits limits_;
    ManualClock clock_;
    Random random_ { 20261204 };
    std::vector<std::string> names_;
    std::vector<bool> isDisconnected_;
    std::vector<std::unique_ptr<Membership>> members_;
    std::size_t steps_ { 0 };
    std::size_t bytesSent_ { 0 };
    std::size_t largestMessage_ { 0 };
};

// Records the requests of one membership, so that the test decides when responses arrive.
struct MembershipHookRecorder {
    std::vector<GossipRequest> requests;
    std::vector<TimePoint> digestTimes;

    MembershipHooks hooks()
    {
        MembershipHooks hooks;
        hooks.sendRequest = [this](const std::string&, const GossipRequest& request) { requests.push_back(request); };
        hooks.sendGossip = [](const std::string&, const GossipMessage&) {};
        hooks.onDigest = [this](const std::string&, const std::string&, TimePoint asOf) { digestTimes.push_back(asOf); };
        return hooks;
    }
};

GossipMessage responseTo(const GossipRequest& request, milliseconds age = milliseconds(0))
{
    return { request.slotSet, request.nonce, { std::nullopt, SlotReport { 7, age, false, "d" } } };
}

}

// Requirement R25 limits the control traffic to 15 KB per second for each process.
TEST_CASE("gossip traffic stays within the limit for control traffic")
{
    for (std::size_t count : { 4, 64, 340 }) {
        MembershipSimulation simulation(count);
        for (std::size_t index = 0; index < count; ++index)
            simulation.at(index).setDigest(std::string("\x80\x89\x7a\x00", 4));
        constexpr int measuredSeconds = 4;
        simulation.run(seconds(4));
        std::size_t before = simulation.bytesSent();
        simulation.run(seconds(measuredSeconds));
        double bytesPerSecond = static_cast<double>(simulation.bytesSent() - before) / (static_cast<double>(count) * measuredSeconds);
        std::cout << count << " slots: " << simulation.largestMessage() << " bytes per age vector, " << bytesPerSecond << " bytes per second sent by each entry\n";
        CHECK(bytesPerSecond < 15000);
    }
}

// In a large deployment without faults, entries must not lose contact with more than half of the slots.
TEST_CASE("in deployments of all sizes, the known state of half of the slots is no older than the contact lease")
{
    for (std::size_t count : { 4, 64, 340 }) {
        MembershipSimulation simulation(count);
        simulation.run(seconds(5));
        Duration oldest {};
        for (int sample = 0; sample < 5; ++sample) {
            simulation.run(milliseconds(450));
            for (std::size_t index = 0; index < count; ++index)
                oldest = std::max(oldest, simulation.medianAge(index));
        }
        std::cout << count << " slots: the state of half of the slots is at most " << std::chrono::duration_cast<milliseconds>(oldest).count() << " ms old, contact lease "
                  << std::chrono::duration_cast<milliseconds>(simulation.limits().contactLease).count() << " ms\n";
        CHECK(oldest <= simulation.limits().contactLease);
    }
}

TEST_CASE("a disconnected instance is suspected until it is in contact again")
{
    MembershipSimulation simulation(4);
    simulation.run(seconds(3));
    CHECK(simulation.at(0).slotsForCallers().size() == 4);
    simulation.setDisconnected(3);
    simulation.run(seconds(3));
    CHECK(simulation.at(0).status(simulation.name(3)).state == PeerState::Suspected);
    CHECK(simulation.at(0).slotsForCallers().size() == 3);
    simulation.setDisconnected(3, false);
    simulation.run(seconds(1));
    CHECK(simulation.at(0).status(simulation.name(3)).state == PeerState::Alive);
}

// If most of a small deployment fails, an entry must not attribute the missing responses to its own
// slowness and keep giving callers the addresses of failed entries. Callers cache an address for 5 s.
TEST_CASE("failed instances are suspected within seconds even if they are the majority")
{
    MembershipSimulation simulation(4);
    simulation.run(seconds(2));
    simulation.setDisconnected(2);
    simulation.setDisconnected(3);
    simulation.run(seconds(5));
    CHECK(simulation.at(0).status(simulation.name(1)).state == PeerState::Alive);
    CHECK(simulation.at(0).status(simulation.name(2)).state == PeerState::Suspected);
    CHECK(simulation.at(0).status(simulation.name(3)).state == PeerState::Suspected);
}

// A late response must not count as recent contact.
TEST_CASE("the contact time is the send time of the request, however late the response arrives")
{
    ManualClock clock;
    Random random(1);
    MembershipHookRecorder recorder;
    Membership membership({ "a", 1, { "a", "b" }, {} }, clock, random, recorder.hooks());
    TimePoint sentAt = clock.now();
    membership.tick();
    clock.advance(seconds(3));
    membership.receive("b", responseTo(recorder.requests.front(), milliseconds(100)));
    REQUIRE(recorder.digestTimes.size() == 1);
    CHECK(recorder.digestTimes.front() == sentAt - milliseconds(100));
    CHECK(membership.status("b").state == PeerState::Suspected);
    // A duplicate response, one from another peer and one for another list of slots are ignored.
    membership.receive("b", responseTo(recorder.requests.front()));
    clock.advance(seconds(1));
    membership.tick();
    membership.receive("c", responseTo(recorder.requests.back()));
    GossipRequest otherSlots = recorder.requests.back();
    ++otherSlots.slotSet;
    membership.receive("b", responseTo(otherSlots));
    CHECK(recorder.digestTimes.size() == 1);
}

// A slow instance must not mistake its own delays for failures of its peers.
TEST_CASE("a slow instance extends its suspicion timeout")
{
    ManualClock clock;
    Random random(1);
    MembershipHookRecorder recorder;
    Membership membership({ "a", 1, { "a", "b" }, {} }, clock, random, recorder.hooks());
    membership.tick();
    membership.receive("b", responseTo(recorder.requests.back()));
    clock.advance(milliseconds(2500));
    membership.tick();
    CHECK(membership.slownessScore() == 1);
    CHECK(membership.status("b").state == PeerState::Alive);
    clock.advance(milliseconds(2500));
    CHECK(membership.status("b").state == PeerState::Suspected);
    for (int period = 0; period < 4; ++period) {
        clock.advance(milliseconds(250));
        membership.tick();
        membership.receive("b", responseTo(recorder.requests.back()));
    }
    CHECK(membership.slownessScore() == 0);
}

// A draining instance must not get new work (requirement R13), and the instance list, which lags, must
// not count as evidence that an instance is alive (R20).
TEST_CASE("draining instances and those removed from the instance list get no new work")
{
    MembershipSimulation simulation(4);
    simulation.run(seconds(1));
    simulation.at(1).startDraining();
    simulation.run(seconds(1));
    CHECK(simulation.at(0).status(simulation.name(1)).isDraining);
    auto record = [&simulation](std::size_t index, InstanceState state) {
        return InstanceRecord { simulation.name(index), InstanceRole::Entry, state, "zone", "", {}, {} };
    };
    Membership& observer = simulation.at(0);
    observer.observeInstanceList({ record(0, InstanceState::Live), record(2, InstanceState::Live) });
    // Entry 3 is not in the list yet, which does not count as removal.
    CHECK(observer.slotsForCallers() == std::vector<std::string> { simulation.name(0), simulation.name(2), simulation.name(3) });
    observer.observeInstanceList({ record(0, InstanceState::Live), record(2, InstanceState::Draining), record(3, InstanceState::Live) });
    CHECK(observer.slotsForCallers() == std::vector<std::string> { simulation.name(0), simulation.name(3) });
    observer.observeInstanceList({ record(0, InstanceState::Live), record(2, InstanceState::Live) });
    CHECK(observer.slotsForCallers() == std::vector<std::string> { simulation.name(0), simulation.name(2) });
    // Listed as live, but disconnected.
    simulation.setDisconnected(2);
    simulation.run(seconds(3));
    CHECK(observer.slotsForCallers() == std::vector<std::string> { simulation.name(0) });
}

TEST_CASE("gossip messages are decoded as encoded and malformed ones are rejected")
{
    GossipMessage message { 5, 9, { std::nullopt, SlotReport { 0x12345678, milliseconds(30), true, "abc" } } };
    for (int extra = 0; extra < 200; ++extra)
        message.slots.emplace_back(SlotReport { 1, milliseconds(0), false, "digest " + std::to_string(extra) });
    message.slots.emplace_back(SlotReport { 1, maxReportedAge + milliseconds(1), false, "" });
    Frame frame = encodeMessage(message, 0);
    GossipMessage decoded = decodeGossip(frame.body);
    REQUIRE(decoded.slots.size() == message.slots.size());
    CHECK(!decoded.slots.front());
    // An age must never be rounded down, because the state would seem more recent than it is.
    CHECK(decoded.slots[1]->age == milliseconds(50));
    CHECK(decoded.slots[1]->incarnation == 0x12345678);
    CHECK(decoded.slots[1]->isDraining);
    CHECK(decoded.slots[201]->digest == "digest 199");
    CHECK(!decoded.slots.back());
    frame.body.pop_back();
    CHECK_THROWS_AS(decodeGossip(frame.body), Error);
}

// Time limits must not contradict the time within which a change is guaranteed to be in force.
TEST_CASE("contradictory time limits are rejected")
{
    for (std::size_t count : { 1, 4, 32, 33, 340 })
        checkTimeLimits(timeLimitsForSlots(count));
    auto expectInvalid = [](const std::function<void(TimeLimits&)>& change) {
        TimeLimits limits;
        change(limits);
        CHECK_THROWS_AS(checkTimeLimits(limits), Error);
    };
    expectInvalid([](TimeLimits& limits) { limits.switchGrace = seconds(6); });
    expectInvalid([](TimeLimits& limits) { limits.proposeTimeout = seconds(5); });
    expectInvalid([](TimeLimits& limits) { limits.tableTimeout = milliseconds(1100); });
    expectInvalid([](TimeLimits& limits) { limits.gossipPeriod = milliseconds(700); });
    expectInvalid([](TimeLimits& limits) { limits.resendInterval = milliseconds(1500); });
    expectInvalid([](TimeLimits& limits) { limits.switchGrace = milliseconds(900); });
    expectInvalid([](TimeLimits& limits) { limits.suspicionTimeout = seconds(1); });
    expectInvalid([](TimeLimits& limits) { limits.headPollInterval = Duration::zero(); });
}

}

#pragma once

#include "Core/Clock.h"
#include "MapSwitch/GroupRow.h"
#include "MapSwitch/MapEngine.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace Damaskgrade {

// An engine blocked for longer than this makes its agent ask the other agents for their votes.
constexpr std::chrono::milliseconds voteRequestDelay { 200 };

struct MapAgentSettings {
    std::string name;
    std::string group;
    // All agents of the group, this one included.
    std::vector<std::string> members;
};

struct MapAgentHooks {
    std::function<void(const std::string& controller, const MapOrderResultMessage&)> sendResult;
    std::function<void(const std::string& agent, const VoteRequestMessage&)> sendVoteRequest;
    std::function<void(const std::string& agent, const VoteResponseMessage&)> sendVoteResponse;
};

// Forwards the controller's orders to one engine, refuses stale ones, and finds the outcome of
// a change from the votes of all agents if the controller doesn't tell it. Votes and refusals
// are kept in the engine. Orders to the engine are sent one at a time.
class MapAgent {
public:
    MapAgent(const MapAgentSettings& settings, const Clock& clock, Table& table, MapEngine& engine, const MapAgentHooks& hooks);

    // Call every few tens of milliseconds. Polls the engine, and the table until the epoch is known.
    void tick();

    void receive(const MapOrderMessage& order);
    void receive(const VoteRequestMessage& request);
    void receive(const VoteResponseMessage& response);

private:
    void enqueue(const std::function<void()>& task);
    void finishTask();
    void readEpoch();
    void execute(const MapOrderMessage& order);
    void forward(const MapOrderMessage& order);
    void refuse(const Epoch& epoch, const std::function<void(ResultCode, const MapEngineState&)>& done);
    void sendOrderResult(const MapOrderMessage& order, ResultCode code);
    void handleState(const MapEngineState& state);
    void releaseIfDecided();

    MapAgentSettings settings_;
    const Clock& clock_;
    Table& table_;
    MapEngine& engine_;
    MapAgentHooks hooks_;
    // The highest epoch seen. Unknown after a restart until the table was read.
    std::optional<Epoch> highestEpoch_;
    bool isReadingEpoch_ { false };
    // Work that needs the engine, in order. The first one is running if isBusy_.
    std::deque<std::function<void()>> tasks_;
    bool isBusy_ { false };
    // The epoch that blocks the engine, and the votes for it.
    std::optional<Epoch> blockedEpoch_;
    MapVersion blockedVersion_ { noMap };
    MapVersion currentVersion_ { noMap };
    TimePoint blockedSince_;
    std::map<std::string, Vote> votes_;
    // Callbacks check it, because they may come after the agent was destroyed.
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

}

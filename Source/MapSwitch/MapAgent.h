#pragma once

#include "Core/Clock.h"
#include "MapSwitch/GroupRow.h"
#include "MapSwitch/MapEngine.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace Damaskgrade {

// After its engine has been blocked for this time, an agent requests the votes of the other agents.
constexpr std::chrono::milliseconds voteRequestDelay { 200 };

struct MapAgentSettings {
    std::string name;
    std::string group;
    // The names of all agents of the group, including this one.
    std::vector<std::string> members;
};

// Sends the messages of a MapAgent.
struct MapAgentHooks {
    std::function<void(const std::string& controller, const MapOrderResultMessage&)> sendResult;
    std::function<void(const std::string& agent, const VoteRequestMessage&)> sendVoteRequest;
    std::function<void(const std::string& agent, const VoteResponseMessage&)> sendVoteResponse;
};

// Forwards the controller's orders to one engine and refuses orders of older epochs. If the controller
// does not release an armed epoch, determines the outcome of the change from the votes of all agents.
// The engine, not the agent, stores votes and refusals. Orders to the engine are sent one at a time.
class MapAgent {
public:
    MapAgent(const MapAgentSettings& settings, const Clock& clock, Table& table, MapEngine& engine, const MapAgentHooks& hooks);

    // Polls the engine, and reads the table until the epoch is known. Must be called every few tens
    // of milliseconds.
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
    // The highest epoch seen. Unset after a restart until the table has been read.
    std::optional<Epoch> highestEpoch_;
    bool isReadingEpoch_ { false };
    // Tasks that use the engine, in order of arrival. The first one is running if isBusy_ is set.
    std::deque<std::function<void()>> tasks_;
    bool isBusy_ { false };
    // The armed epoch whose unknown outcome blocks the engine, its target version, and the votes received.
    std::optional<Epoch> blockedEpoch_;
    MapVersion blockedVersion_ { noMap };
    MapVersion currentVersion_ { noMap };
    TimePoint blockedSince_;
    std::map<std::string, Vote> votes_;
    // Callbacks hold a weak pointer to this, because they can run after the agent is destroyed.
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

}

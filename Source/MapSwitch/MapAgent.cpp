#include "MapSwitch/MapAgent.h"

namespace Damaskgrade {

namespace {

constexpr std::size_t maxQueuedTasks = 64;

Vote voteOf(const MapEngineState& state, const VoteRequestMessage& request)
{
    if (state.mapVersion == noMap)
        return Vote::None;
    if (state.armed)
        return *state.armed == request.epoch ? Vote::Armed : Vote::None;
    if (state.settled < request.epoch)
        return Vote::None;
    if (state.mapVersion == request.version)
        return Vote::Switched;
    return state.mapVersion < request.version ? Vote::Refused : Vote::None;
}

}

MapAgent::MapAgent(const MapAgentSettings& settings, const Clock& clock, Table& table, MapEngine& engine, const MapAgentHooks& hooks)
    : settings_(settings)
    , clock_(clock)
    , table_(table)
    , engine_(engine)
    , hooks_(hooks)
{
}

void MapAgent::tick()
{
    if (!highestEpoch_)
        readEpoch();
    if (!tasks_.empty())
        return;
    enqueue([this] {
        engine_.state([this, alive = std::weak_ptr<bool>(alive_)](ResultCode code, const MapEngineState& state) {
            if (alive.expired())
                return;
            if (code == ResultCode::Ok)
                handleState(state);
            finishTask();
        });
    });
}

void MapAgent::receive(const MapOrderMessage& order)
{
    enqueue([this, order] { execute(order); });
}

void MapAgent::receive(const VoteRequestMessage& request)
{
    enqueue([this, request] {
        refuse(request.epoch, [this, request](ResultCode code, const MapEngineState& state) {
            if (code == ResultCode::Ok)
                hooks_.sendVoteResponse(request.agent, { settings_.group, settings_.name, request.epoch, voteOf(state, request) });
            finishTask();
        });
    });
}

void MapAgent::receive(const VoteResponseMessage& response)
{
    if (!blockedEpoch_ || *blockedEpoch_ != response.epoch || response.vote == Vote::None)
        return;
    votes_[response.agent] = response.vote;
    releaseIfDecided();
}

void MapAgent::enqueue(const std::function<void()>& task)
{
    // Senders resend their orders and requests, so tasks for a stalled engine can be dropped.
    if (tasks_.size() >= maxQueuedTasks)
        return;
    tasks_.push_back(task);
    if (isBusy_)
        return;
    isBusy_ = true;
    std::function<void()> first = tasks_.front();
    first();
}

void MapAgent::finishTask()
{
    tasks_.pop_front();
    isBusy_ = !tasks_.empty();
    if (!isBusy_)
        return;
    std::function<void()> next = tasks_.front();
    next();
}

void MapAgent::readEpoch()
{
    if (isReadingEpoch_)
        return;
    isReadingEpoch_ = true;
    table_.read({ groupRowKey(settings_.group) }, [this, alive = std::weak_ptr<bool>(alive_)](const TableReadResult& result) {
        if (alive.expired())
            return;
        isReadingEpoch_ = false;
        if (result.status != ResultCode::Ok)
            return;
        highestEpoch_ = result.rows.empty() ? Epoch() : decodeGroupRow(result.rows.front().value).lastEpoch;
    });
}

void MapAgent::execute(const MapOrderMessage& order)
{
    // For an engine that ignores fencing tokens this is the only check. A restarted agent that has not
    // read the epoch from the table yet could carry out orders that were superseded while it was down.
    if (!highestEpoch_) {
        sendOrderResult(order, ResultCode::FencingTokenUnknown);
        return;
    }
    if (order.epoch < *highestEpoch_) {
        sendOrderResult(order, ResultCode::FencingTokenStale);
        return;
    }
    highestEpoch_ = order.epoch;
    forward(order);
}

void MapAgent::forward(const MapOrderMessage& order)
{
    std::function<void(ResultCode)> done = [this, order, alive = std::weak_ptr<bool>(alive_)](ResultCode code) {
        if (!alive.expired())
            sendOrderResult(order, code);
    };
    switch (order.kind) {
    case MapOrderKind::Query:
        done(ResultCode::Ok);
        return;
    case MapOrderKind::Prepare:
        engine_.prepare(order.epoch, order.version, order.payload, done);
        return;
    case MapOrderKind::Arm:
        engine_.arm(order.epoch, order.step, order.version, done);
        return;
    case MapOrderKind::Release:
        engine_.release(order.epoch, order.version, done);
        return;
    case MapOrderKind::Refuse:
        refuse(order.epoch, [done](ResultCode code, const MapEngineState&) { done(code); });
        return;
    }
}

// Reads the state. If the engine has neither armed nor settled the epoch, orders it to refuse the epoch
// and reads the state again, so that a response contains only what the engine itself has recorded.
void MapAgent::refuse(const Epoch& epoch, const std::function<void(ResultCode, const MapEngineState&)>& done)
{
    std::weak_ptr<bool> alive = alive_;
    engine_.state([this, epoch, done, alive](ResultCode code, const MapEngineState& state) {
        if (alive.expired())
            return;
        if (code != ResultCode::Ok || state.mapVersion == noMap || state.armed || !(state.settled < epoch)) {
            done(code, state);
            return;
        }
        engine_.refuse(epoch, [this, done, alive](ResultCode) {
            if (alive.expired())
                return;
            engine_.state([done, alive](ResultCode code, const MapEngineState& state) {
                if (!alive.expired())
                    done(code, state);
            });
        });
    });
}

void MapAgent::sendOrderResult(const MapOrderMessage& order, ResultCode code)
{
    engine_.state([this, order, code, alive = std::weak_ptr<bool>(alive_)](ResultCode stateCode, const MapEngineState& state) {
        if (alive.expired())
            return;
        if (stateCode == ResultCode::Ok)
            hooks_.sendResult(order.controller, { settings_.group, settings_.name, order.epoch, order.kind, code, state });
        finishTask();
    });
}

void MapAgent::handleState(const MapEngineState& state)
{
    // A recovery is armed without a target version. The controller decides its outcome, not the votes.
    if (!state.armed || !state.isBlocked || state.armedVersion == noMap) {
        blockedEpoch_.reset();
        return;
    }
    currentVersion_ = state.mapVersion;
    if (!blockedEpoch_ || *blockedEpoch_ != *state.armed) {
        blockedEpoch_ = state.armed;
        blockedVersion_ = state.armedVersion;
        blockedSince_ = clock_.now();
        votes_.clear();
        votes_[settings_.name] = Vote::Armed;
    }
    if (clock_.now() - blockedSince_ < voteRequestDelay)
        return;
    for (const std::string& member : settings_.members) {
        if (votes_.count(member) == 0)
            hooks_.sendVoteRequest(member, { settings_.group, settings_.name, *blockedEpoch_, blockedVersion_ });
    }
    releaseIfDecided();
}

void MapAgent::releaseIfDecided()
{
    bool isRefused = false;
    bool isSwitched = false;
    for (const std::pair<const std::string, Vote>& vote : votes_) {
        isRefused = isRefused || vote.second == Vote::Refused;
        isSwitched = isSwitched || vote.second == Vote::Switched;
    }
    bool areAllArmed = votes_.size() == settings_.members.size() && !isRefused;
    if (!isRefused && !isSwitched && !areAllArmed)
        return;
    Epoch epoch = *blockedEpoch_;
    MapVersion version = isRefused ? currentVersion_ : blockedVersion_;
    // The engine refuses the release if a recovery has replaced the epoch in the meantime.
    enqueue([this, epoch, version] {
        engine_.release(epoch, version, [this, alive = std::weak_ptr<bool>(alive_)](ResultCode) {
            if (!alive.expired())
                finishTask();
        });
    });
}

}

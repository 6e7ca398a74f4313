#include "MapSwitch/MapController.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

constexpr std::uint64_t maxStepMarginFactor = 64;

}

MapController::MapController(const MapControllerSettings& settings, const Clock& clock, Table& table, Random& random,
    std::function<void(const std::string& agent, const MapOrderMessage&)> sendOrder)
    : settings_(settings)
    , clock_(clock)
    , table_(table)
    , random_(random)
    , sendOrder_(std::move(sendOrder))
    , nextRead_(clock.now())
    , stepMargin_(settings.stepMargin)
{
}

void MapController::request(const std::string& map)
{
    requestedMap_ = map;
}

bool MapController::holdsLease() const
{
    return token_ != 0 && clock_.now() < leaseUntil_;
}

bool MapController::isIdle() const
{
    return phase_ == Phase::Observing && row_.target == noMap && !requestedMap_;
}

MapStage MapController::stage() const
{
    switch (phase_) {
    case Phase::Observing:
        return MapStage::Watching;
    case Phase::Preparing:
        return MapStage::Preparing;
    case Phase::Arming:
        return MapStage::Arming;
    case Phase::Releasing:
        return MapStage::Releasing;
    case Phase::RecoveryArming:
    case Phase::RecoveryReading:
    case Phase::RecoveryPreparing:
    case Phase::RecoveryReleasing:
        return MapStage::Recovering;
    }
    return MapStage::Watching;
}

void MapController::tick()
{
    if (token_ != 0 && !holdsLease())
        onLeaseLost();
    if (token_ == 0) {
        if (!isTableBusy_ && clock_.now() >= nextRead_)
            readRow();
        return;
    }
    if (!isTableBusy_ && clock_.now() >= renewAt_) {
        GroupRow row = row_;
        ++row.renewals;
        writeRow(row, {}, nullptr);
    }
    if (clock_.now() < nextOrder_)
        return;
    nextOrder_ = clock_.now() + settings_.orderInterval;
    runPhase();
}

void MapController::receive(const MapOrderResultMessage& result)
{
    if (token_ == 0 || result.epoch != row_.lastEpoch || result.code == ResultCode::FencingTokenUnknown || result.code == ResultCode::FencingTokenStale)
        return;
    states_[result.agent] = result.state;
}

// The table has no clock. A lease counts as expired when its row has not changed for the
// complete lease duration, measured by the local clock of the controller that reads it.
void MapController::readRow()
{
    isTableBusy_ = true;
    nextRead_ = clock_.now() + settings_.leaseDuration / 5;
    table_.read({ groupRowKey(settings_.group) }, [this, alive = std::weak_ptr<bool>(alive_)](const TableReadResult& result) {
        if (alive.expired())
            return;
        isTableBusy_ = false;
        onRowRead(result);
    });
}

void MapController::onRowRead(const TableReadResult& result)
{
    if (result.status != ResultCode::Ok)
        return;
    TableRow row = result.rows.empty() ? TableRow() : result.rows.front();
    bool isChanged = !hasReadRow_ || row.version != rowVersion_;
    applyRow(row);
    if (isChanged)
        rowUnchangedSince_ = clock_.now();
    if (row.version == absentVersion || clock_.now() - rowUnchangedSince_ > settings_.leaseDuration)
        tryAcquireLease();
}

void MapController::applyRow(const TableRow& row)
{
    hasReadRow_ = true;
    rowVersion_ = row.version;
    row_ = row.version == absentVersion ? GroupRow() : decodeGroupRow(row.value);
}

void MapController::tryAcquireLease()
{
    GroupRow row = row_;
    row.holder = settings_.name;
    row.lastEpoch = { row_.lastEpoch.token + 1, 0 };
    std::uint64_t token = row.lastEpoch.token;
    writeRow(row, {}, [this, token] {
        token_ = token;
        ++counters_.leases;
        enterPhase(Phase::Observing);
    });
}

// Writes the row on condition that it has not changed since it was read. Then reads it back
// to get its new version, and to find out whether a write without acknowledgement was applied.
void MapController::writeRow(const GroupRow& row, const std::vector<TableWrite>& additionalWrites, const std::function<void()>& applied)
{
    GroupRow next = row;
    next.writeId = random_.identifier();
    pendingWriteId_ = next.writeId;
    pendingWriteStart_ = clock_.now();
    pendingApplied_ = applied;
    renewAt_ = clock_.now() + settings_.leaseDuration / 4;
    isTableBusy_ = true;
    std::vector<TableWrite> writes = additionalWrites;
    writes.push_back({ groupRowKey(settings_.group), encodeGroupRow(next), rowVersion_ });
    std::weak_ptr<bool> alive = alive_;
    table_.write(writes, [this, alive](const TableWriteResult&) {
        if (alive.expired())
            return;
        table_.read({ groupRowKey(settings_.group) }, [this, alive](const TableReadResult& result) {
            if (alive.expired())
                return;
            isTableBusy_ = false;
            if (result.status != ResultCode::Ok || result.rows.empty())
                return;
            bool isChanged = result.rows.front().version != rowVersion_;
            applyRow(result.rows.front());
            if (isChanged)
                rowUnchangedSince_ = clock_.now();
            if (token_ != 0 && row_.lastEpoch.token != token_) {
                onLeaseLost();
                return;
            }
            if (row_.writeId != pendingWriteId_)
                return;
            // The lease starts before the write here and after the write for other controllers, so it
            // expires here first.
            leaseUntil_ = pendingWriteStart_ + settings_.leaseDuration;
            if (pendingApplied_)
                pendingApplied_();
        });
    });
}

void MapController::onLeaseLost()
{
    token_ = 0;
    enterPhase(Phase::Observing);
}

void MapController::enterPhase(Phase phase)
{
    phase_ = phase;
    phaseSince_ = clock_.now();
    nextOrder_ = clock_.now();
    inconsistentSince_.reset();
    states_.clear();
}

bool MapController::hasTimedOut(std::chrono::milliseconds limit) const
{
    return clock_.now() - phaseSince_ > limit;
}

bool MapController::allMembers(const StateCheck& check) const
{
    return std::all_of(settings_.members.begin(), settings_.members.end(), [this, &check](const std::string& member) {
        std::map<std::string, MapEngineState>::const_iterator found = states_.find(member);
        return found != states_.end() && check(found->second);
    });
}

bool MapController::anyMember(const StateCheck& check) const
{
    return std::any_of(states_.begin(), states_.end(), [&check](const std::pair<const std::string, MapEngineState>& entry) { return check(entry.second); });
}

void MapController::sendOrders(MapOrderKind kind, std::uint64_t step, MapVersion version, const StateCheck& isDone)
{
    for (const std::string& member : settings_.members) {
        std::map<std::string, MapEngineState>::const_iterator found = states_.find(member);
        if (found != states_.end() && isDone(found->second))
            continue;
        MapOrderMessage message;
        message.group = settings_.group;
        message.controller = settings_.name;
        message.epoch = row_.lastEpoch;
        message.kind = kind;
        message.step = step;
        message.version = version;
        if (kind == MapOrderKind::Prepare)
            message.payload = payload_;
        sendOrder_(member, message);
    }
}

void MapController::runPhase()
{
    switch (phase_) {
    case Phase::Observing:
        observeGroup();
        return;
    case Phase::Preparing:
        prepare();
        return;
    case Phase::Arming:
        arm();
        return;
    case Phase::Releasing:
    case Phase::RecoveryReleasing:
        release();
        return;
    case Phase::RecoveryArming:
        armRecovery();
        return;
    case Phase::RecoveryReading:
        readRecoveryMap();
        return;
    case Phase::RecoveryPreparing:
        prepareRecovery();
        return;
    }
}

void MapController::observeGroup()
{
    bool isComplete = allMembers([](const MapEngineState&) { return true; });
    bool isRestarted = anyMember([](const MapEngineState& state) { return state.mapVersion == noMap; });
    MapVersion version = isComplete ? states_.begin()->second.mapVersion : noMap;
    bool isConsistent = isComplete && !isRestarted
        && allMembers([version](const MapEngineState& state) { return !state.armed && state.mapVersion == version; });
    if (isConsistent) {
        inconsistentSince_.reset();
        recordOutcome(version);
    } else if (isComplete) {
        if (!inconsistentSince_)
            inconsistentSince_ = clock_.now();
        // Blocked agents determine the outcome by votes. Only a restarted engine needs a recovery at once.
        if (!isTableBusy_ && (isRestarted || clock_.now() - *inconsistentSince_ > settings_.voteTimeout))
            startRecovery();
    }
    if (phase_ != Phase::Observing)
        return;
    // A state that leads to one of the decisions above does not revert, so the states may have been
    // reported at different times.
    if (isComplete)
        states_.clear();
    sendOrders(MapOrderKind::Query, 0, noMap, [](const MapEngineState&) { return true; });
}

void MapController::recordOutcome(MapVersion version)
{
    if (isTableBusy_)
        return;
    if (row_.target == noMap && row_.inForce == version) {
        if (requestedMap_)
            startChange();
        return;
    }
    // A change must not be recorded as given up while an engine can still arm its epoch.
    Epoch epoch = row_.lastEpoch;
    if (version != row_.target && !allMembers([epoch](const MapEngineState& state) { return !(state.settled < epoch); })) {
        sendOrders(MapOrderKind::Refuse, 0, noMap, [](const MapEngineState&) { return false; });
        return;
    }
    GroupRow row = row_;
    bool isSwitch = version == row.target;
    bool isAbort = row.target != noMap && !isSwitch;
    std::vector<TableWrite> additionalWrites;
    for (MapVersion old : { row.inForce, row.target }) {
        if (old != noMap && old != version)
            additionalWrites.push_back({ groupMapKey(settings_.group, old), std::nullopt, std::nullopt });
    }
    row.inForce = version;
    row.target = noMap;
    writeRow(row, additionalWrites, [this, isSwitch, isAbort] {
        counters_.switches += isSwitch ? 1 : 0;
        counters_.aborts += isAbort ? 1 : 0;
    });
}

void MapController::startChange()
{
    GroupRow row = row_;
    ++row.lastEpoch.sequence;
    row.target = ++row.lastVersion;
    std::string map = *requestedMap_;
    writeRow(row, { { groupMapKey(settings_.group, row.target), map, std::nullopt } }, [this, map] {
        requestedMap_.reset();
        payload_ = map;
        changeVersion_ = row_.target;
        enterPhase(Phase::Preparing);
    });
}

void MapController::prepare()
{
    MapVersion version = changeVersion_;
    if (anyMember([](const MapEngineState& state) { return state.mapVersion == noMap; }) || hasTimedOut(settings_.prepareTimeout)) {
        enterPhase(Phase::Observing);
        return;
    }
    StateCheck isPrepared = [version](const MapEngineState& state) { return state.preparedVersion == version; };
    if (!allMembers(isPrepared)) {
        sendOrders(MapOrderKind::Prepare, 0, version, isPrepared);
        return;
    }
    std::uint64_t lastStep = 0;
    for (const std::pair<const std::string, MapEngineState>& entry : states_)
        lastStep = std::max(lastStep, entry.second.step);
    step_ = lastStep + stepMargin_;
    enterPhase(Phase::Arming);
}

void MapController::arm()
{
    MapVersion version = changeVersion_;
    Epoch epoch = row_.lastEpoch;
    StateCheck hasVoted = [epoch, version](const MapEngineState& state) {
        return (state.armed && *state.armed == epoch) || state.mapVersion == version;
    };
    if (allMembers(hasVoted)) {
        stepMargin_ = std::max(settings_.stepMargin, stepMargin_ / 2);
        enterPhase(Phase::Releasing);
        return;
    }
    // A refusal or a restarted engine ends the change. The agents and observeGroup() determine its outcome.
    bool hasFailed = anyMember([epoch, version](const MapEngineState& state) {
        return state.mapVersion == noMap || (!state.armed && !(state.settled < epoch) && state.mapVersion != version);
    });
    if (hasFailed || hasTimedOut(settings_.voteTimeout)) {
        // An engine may have reached the step before the order arrived.
        stepMargin_ = std::min(settings_.stepMargin * maxStepMarginFactor, stepMargin_ * 2);
        enterPhase(Phase::Observing);
        return;
    }
    sendOrders(MapOrderKind::Arm, step_, version, hasVoted);
}

void MapController::release()
{
    MapVersion version = changeVersion_;
    StateCheck isReleased = [version](const MapEngineState& state) { return !state.armed && state.mapVersion == version; };
    if (allMembers(isReleased) || hasTimedOut(settings_.voteTimeout)) {
        enterPhase(Phase::Observing);
        return;
    }
    sendOrders(MapOrderKind::Release, 0, version, isReleased);
}

// A recovery supersedes all older epochs. It selects the map only after all engines have armed its
// epoch and so take part in no older one. The selected map therefore can't contradict an outcome that
// an agent has already determined by votes.
void MapController::startRecovery()
{
    GroupRow row = row_;
    ++row.lastEpoch.sequence;
    std::vector<TableWrite> additionalWrites;
    if (row.lastVersion == noMap) {
        // The first map of a new group is put in force without a vote.
        if (!requestedMap_)
            return;
        row.lastVersion = 1;
        row.inForce = 1;
        additionalWrites.push_back({ groupMapKey(settings_.group, row.inForce), *requestedMap_, std::nullopt });
    }
    bool isFirst = !additionalWrites.empty();
    writeRow(row, additionalWrites, [this, isFirst] {
        if (isFirst)
            requestedMap_.reset();
        ++counters_.recoveries;
        enterPhase(Phase::RecoveryArming);
    });
}

void MapController::armRecovery()
{
    Epoch epoch = row_.lastEpoch;
    StateCheck hasArmed = [epoch](const MapEngineState& state) { return state.armed && *state.armed == epoch; };
    if (allMembers(hasArmed)) {
        changeVersion_ = noMap;
        for (const std::pair<const std::string, MapEngineState>& entry : states_)
            changeVersion_ = std::max(changeVersion_, entry.second.mapVersion);
        // If all engines were restarted, some may have used the target of a change without recorded outcome.
        if (changeVersion_ == noMap)
            changeVersion_ = row_.target != noMap ? row_.target : row_.inForce;
        MapVersion version = changeVersion_;
        // If no engine needs the weights, the recovery ends without reading the map from the table.
        bool hasMap = allMembers([version](const MapEngineState& state) { return state.mapVersion == version; });
        enterPhase(hasMap ? Phase::RecoveryReleasing : Phase::RecoveryReading);
        return;
    }
    if (hasTimedOut(settings_.voteTimeout)) {
        enterPhase(Phase::Observing);
        return;
    }
    sendOrders(MapOrderKind::Arm, 0, noMap, hasArmed);
}

void MapController::readRecoveryMap()
{
    if (isTableBusy_)
        return;
    isTableBusy_ = true;
    Epoch epoch = row_.lastEpoch;
    table_.read({ groupMapKey(settings_.group, changeVersion_) }, [this, epoch, alive = std::weak_ptr<bool>(alive_)](const TableReadResult& result) {
        if (alive.expired())
            return;
        isTableBusy_ = false;
        if (result.status != ResultCode::Ok || result.rows.empty() || phase_ != Phase::RecoveryReading || epoch != row_.lastEpoch)
            return;
        payload_ = result.rows.front().value;
        enterPhase(Phase::RecoveryPreparing);
    });
}

void MapController::prepareRecovery()
{
    MapVersion version = changeVersion_;
    if (hasTimedOut(settings_.prepareTimeout)) {
        enterPhase(Phase::Observing);
        return;
    }
    StateCheck isPrepared = [version](const MapEngineState& state) {
        return state.armed && (state.mapVersion == version || state.preparedVersion == version);
    };
    if (allMembers(isPrepared)) {
        enterPhase(Phase::RecoveryReleasing);
        return;
    }
    sendOrders(MapOrderKind::Prepare, 0, version, isPrepared);
}

}

#include "Entry/MapGroup.h"

#include "Core/Error.h"

#include <glog/logging.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace Damaskgrade {

namespace {

// A report for 256 experts has about 1 KB, so the 8 agents of a group of 64 ranks send 4 KB per second to one entry.
constexpr std::chrono::milliseconds pollPeriod { 2000 };
constexpr double bytesPerMebibyte = 1024.0 * 1024.0;

EngineExpertLoad engineLoad(const ExpertLoadMessage& message)
{
    EngineExpertLoad load;
    load.expertTokens = message.expertTokens;
    for (std::chrono::microseconds tokenTime : message.rankTokenTimes)
        load.rankTokenSeconds.push_back(std::chrono::duration<double>(tokenTime).count());
    return load;
}

}

MapGroup::MapGroup(const MapControllerSettings& settings, const Clock& clock, Table& table, Random& random, EventRecorder& events, MapGroupHooks hooks)
    : settings_(settings)
    , clock_(clock)
    , table_(table)
    , events_(events)
    , hooks_(std::move(hooks))
    , controller_(settings, clock, table, random, hooks_.sendOrder)
    , loads_(settings.members)
    , policy_(policySettings_)
    , nextPoll_(clock.now())
{
}

void MapGroup::configure(const ModelSettings& model, const PlacementSettings& placement)
{
    placement_ = placement;
    PlacementPolicySettings settings;
    settings.skewWeight = placement.skewWeight;
    settings.costWeight = placement.costWeight;
    settings.slotsPerRank = model.expertSlotsPerRank;
    settings.horizon = placement.horizon;
    settings.cooldown = placement.minInterval;
    // Assumes that a switch stalls the group for the maximum allowed time.
    settings.switchStall = placement.maxStall;
    double loadSeconds = placement.maxMovedMebibytes * bytesPerMebibyte / settings.weightStoreBytesPerSecond;
    settings.maxLoadTime = std::min(settings.maxLoadTime, std::chrono::seconds(static_cast<std::int64_t>(loadSeconds)));
    policySettings_ = settings;
    policy_.configure(settings);
}

void MapGroup::tick()
{
    controller_.tick();
    recordChanges();
    if (!controller_.holdsLease()) {
        discardLoad();
        return;
    }
    if (clock_.now() >= nextPoll_)
        requestExpertLoad();
    if (loads_.isComplete())
        decide();
}

void MapGroup::receive(const ExpertLoadMessage& load)
{
    if (controller_.holdsLease())
        loads_.observe(load.agent, engineLoad(load));
}

void MapGroup::recordChanges()
{
    if (controller_.holdsLease() != heldLease_) {
        heldLease_ = !heldLease_;
        events_.record(heldLease_ ? EventKind::LeaseAcquired : EventKind::LeaseLost, settings_.group, "");
        LOG(INFO) << (heldLease_ ? "acquired" : "lost") << " the lease of group " << settings_.group;
    }
    MapControllerCounters counters = controller_.counters();
    if (counters.switches != lastCounters_.switches) {
        bytesMoved_ += std::exchange(requestedBytes_, 0);
        events_.record(EventKind::MapSwitched, settings_.group, "map " + std::to_string(controller_.versionInForce()));
    }
    if (counters.aborts != lastCounters_.aborts) {
        requestedBytes_ = 0;
        events_.record(EventKind::MapRefused, settings_.group, "map " + std::to_string(controller_.versionInForce()) + " stays in force");
    }
    if (counters.recoveries != lastCounters_.recoveries)
        events_.record(EventKind::MapIntended, settings_.group, "recovery of the group");
    lastCounters_ = counters;
    if (controller_.stage() != lastStage_)
        recordStage(controller_.stage());
}

void MapGroup::recordStage(MapStage stage)
{
    lastStage_ = stage;
    std::string target = "map " + std::to_string(controller_.targetVersion());
    if (stage == MapStage::Preparing)
        events_.record(EventKind::MapIntended, settings_.group, target);
    else if (stage == MapStage::Arming)
        events_.record(EventKind::MapPrepared, settings_.group, target);
    else if (stage == MapStage::Releasing)
        events_.record(EventKind::MapArmed, settings_.group, target);
}

void MapGroup::requestExpertLoad()
{
    nextPoll_ = clock_.now() + pollPeriod;
    ExpertLoadRequestMessage request;
    request.group = settings_.group;
    request.skew = skew_;
    for (const std::string& member : settings_.members)
        hooks_.sendLoadRequest(member, request);
}

void MapGroup::decide()
{
    // The expert slots of all ranks. Without a slot for each expert there is no valid map.
    std::size_t slots = loads_.rankCount() * policySettings_.slotsPerRank;
    if (slots < loads_.expertCount())
        return;
    if (controller_.versionInForce() == noMap) {
        requestFirstMap();
        return;
    }
    if (!hasMap())
        return;
    if (!estimate_)
        estimate_.emplace(loads_.rankCount(), loads_.expertCount(), ExpertLoadSettings());
    estimate_->observe(loads_.takeSample(clock_.now(), *map_));
    if (!estimate_->hasData())
        return;
    std::vector<double> times = map_->rankLoads(estimate_->forecast());
    std::vector<double> slowness = estimate_->slowness();
    std::transform(times.begin(), times.end(), slowness.begin(), times.begin(), std::multiplies<>());
    skew_ = skewOf(times);
    placeExperts();
}

// Returns whether the map in force has been read and matches the rank and expert counts of the engines.
// Starts reading the map otherwise.
bool MapGroup::hasMap()
{
    if (!map_ || mapVersion_ != controller_.versionInForce()) {
        readMap();
        return false;
    }
    return map_->rankCount() == loads_.rankCount() && map_->expertCount() == loads_.expertCount();
}

void MapGroup::readMap()
{
    if (isReadingMap_)
        return;
    isReadingMap_ = true;
    MapVersion version = controller_.versionInForce();
    table_.read({ groupMapKey(settings_.group, version) }, [this, version, alive = std::weak_ptr<bool>(alive_)](const TableReadResult& result) {
        if (alive.expired())
            return;
        isReadingMap_ = false;
        if (result.status != ResultCode::Ok || result.rows.empty())
            return;
        try {
            map_ = decodeExpertMap(result.rows.front().value);
            mapVersion_ = version;
        } catch (const Error& failure) {
            LOG(WARNING) << "cannot decode map " << version << " of group " << settings_.group << ": " << failure.what();
        }
    });
}

void MapGroup::requestFirstMap()
{
    if (controller_.isIdle())
        controller_.request(encodeExpertMap(ExpertMap::contiguous(loads_.rankCount(), loads_.expertCount())));
}

void MapGroup::placeExperts()
{
    bool isTooEarly = lastRequestedAt_ && clock_.now() - *lastRequestedAt_ < placement_.minInterval;
    if (isTooEarly || !controller_.isIdle())
        return;
    std::optional<PlacementDecision> decision = policy_.decide(clock_.now(), *map_, *estimate_);
    if (!decision || static_cast<double>(decision->bytes) > placement_.maxMovedMebibytes * bytesPerMebibyte)
        return;
    lastRequestedAt_ = clock_.now();
    requestedBytes_ = decision->bytes;
    controller_.request(encodeExpertMap(decision->map));
    LOG(INFO) << "group " << settings_.group << ": requesting a map change, expected skew from " << decision->skewBefore << " to " << decision->skewAfter << ", moving "
              << decision->bytes << " bytes";
}

// Reports from before the lease was lost must not count as load from after it is acquired again.
void MapGroup::discardLoad()
{
    if (!estimate_ && !map_)
        return;
    loads_ = GroupLoadCollector(settings_.members);
    estimate_.reset();
    map_.reset();
    mapVersion_ = noMap;
    skew_ = 1;
}

}

#include "RankMaps/SwitchController.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Damaskgrade {

namespace {

// Each term has its own range of map versions, so that two terms never use the same version.
constexpr RankMapVersion versionsPerTerm = 10000;

}

SwitchController::SwitchController(const Clock& clock, SwitchControllerSettings settings, std::uint32_t localRank, SendOrder sendOrder, MapInUse mapInUse, LogDecision logDecision)
    : clock_(clock)
    , settings_(settings)
    , localRank_(localRank)
    , holdRank_(localRank)
    , sendOrder_(std::move(sendOrder))
    , mapInUse_(std::move(mapInUse))
    , logDecision_(std::move(logDecision))
    , loadResendDelay_(settings.resendDelay)
    , stageSince_(clock.now())
    , changeStartedAt_(clock.now())
    , sampledAt_(clock.now())
{
}

void SwitchController::observe(const RankReport& report)
{
    if (report.epoch < epoch_)
        return;
    if (report.epoch > epoch_) {
        // A new epoch clears all that was prepared, armed or held in the old one.
        reports_.clear();
        epoch_ = report.epoch;
        extraPasses_ = 0;
        if (stage_ != SwitchStage::Idle) {
            ++counters_.givenUp;
            logDecision_("group restarted", version_, pass_);
            enter(SwitchStage::Idle);
        }
    }
    groupSize_ = report.groupSize;
    reports_[report.rank] = report;
    measurePasses();
}

void SwitchController::handleOrderResult(std::uint32_t rank, RankOrderKind kind, RankMapVersion version, std::uint64_t pass, RankOrderResult result)
{
    if (result == RankOrderResult::Unknown || result == RankOrderResult::BaseMissing) {
        if (result == RankOrderResult::Unknown)
            lastLostOrderAt_ = clock_.now();
        // The original order may still be executed seconds later. It has no effect then, because the resent order has been
        // executed before.
        if (version == version_)
            orderedAt_.erase(rank);
        return;
    }
    // The effect of an accepted order shows in the next report. Only a refusal is handled before that.
    if (result != RankOrderResult::Refused || version != version_)
        return;
    if (stage_ == SwitchStage::Preparing && kind == RankOrderKind::Prepare) {
        // The refused version may have been prepared by an earlier order that was executed late; the next reports show it.
        // So the order is resent only after resendDelay.
        orderedAt_[rank] = clock_.now();
        return;
    }
    if (stage_ == SwitchStage::Restoring && kind == RankOrderKind::Disarm)
        orderedAt_.erase(rank);
    if (stage_ == SwitchStage::Holding && kind == RankOrderKind::Hold && pass == pass_)
        selectLaterPass();
}

// Called if the pass has begun, or is assumed to have begun, before the order to hold it arrived.
void SwitchController::selectLaterPass()
{
    extraPasses_ = std::min(extraPasses_ + 1, settings_.maxExtraPasses);
    pass_ = 0;
    orderedAt_.clear();
}

void SwitchController::tick()
{
    if (!isComplete())
        return;
    switch (stage_) {
    case SwitchStage::Idle:
        resumeUnfinishedChange();
        break;
    case SwitchStage::Preparing:
        prepare();
        break;
    case SwitchStage::Holding:
        hold();
        break;
    case SwitchStage::Arming:
        arm();
        break;
    case SwitchStage::Restoring:
        restore();
        break;
    case SwitchStage::Releasing:
        release();
        break;
    }
}

void SwitchController::tickWithoutPredecessor()
{
    if (stage_ != SwitchStage::Idle || reports_.size() + 1 != groupSize_)
        return;
    std::optional<std::uint64_t> held;
    std::uint32_t holder = localRank_;
    for (const auto& [rank, report] : reports_) {
        if (report.heldPass && *report.heldPass > lastPass()) {
            held = report.heldPass;
            holder = rank;
        }
    }
    bool isAnyArmed = std::any_of(reports_.begin(), reports_.end(), [held](const auto& entry) {
        const RankReport& report = entry.second;
        return report.armed || !report.highestArmOrderPass || *report.highestArmOrderPass >= held.value_or(0);
    });
    if (!held || isAnyArmed)
        return;
    // Logged when the order is first sent; its effect shows in a later report.
    if (orderedAt_.count(holder) == 0)
        logDecision_("hold of the previous controller released", mapVersion(), *held);
    order(holder, RankOrderKind::Go, settings_.resendDelay, mapVersion(), *held);
}

bool SwitchController::canStart() const
{
    if (stage_ != SwitchStage::Idle || !isComplete())
        return false;
    RankMapVersion version = mapVersion();
    return std::all_of(reports_.begin(), reports_.end(), [version](const auto& entry) {
        const RankReport& report = entry.second;
        return report.isOpen && report.mapVersion == version && !report.armed && !report.heldPass;
    });
}

void SwitchController::start(const GroupMap& map)
{
    ++counters_.started;
    map_ = std::make_shared<const GroupMap>(map);
    version_ = std::max(highestVersion() + 1, fencingToken_ * versionsPerTerm);
    highestUsedVersion_ = version_;
    pass_ = 0;
    changeStartedAt_ = clock_.now();
    enter(SwitchStage::Preparing);
    logDecision_("change started", version_, lastPass());
    prepare();
}

void SwitchController::reset()
{
    reports_.clear();
    epoch_ = 0;
    enter(SwitchStage::Idle);
}

bool SwitchController::isWaitingFor(std::uint32_t rank) const
{
    auto found = reports_.find(rank);
    if (stage_ == SwitchStage::Idle || found == reports_.end())
        return true;
    const RankReport& report = found->second;
    switch (stage_) {
    case SwitchStage::Preparing:
        // The local rank is polled all the time, because the pass of the switch is selected by its report.
        return report.prepared != version_ || rank == localRank_;
    case SwitchStage::Holding:
        return rank == holdRank_;
    case SwitchStage::Arming:
        return !(report.armed == ArmedMap { version_, pass_ });
    case SwitchStage::Restoring:
        return report.armed || report.prepared != version_;
    case SwitchStage::Idle:
    case SwitchStage::Releasing:
        break;
    }
    return report.mapVersion != version_ || report.heldPass;
}

RankMapVersion SwitchController::mapVersion() const
{
    return reports_.empty() ? 0 : reports_.begin()->second.mapVersion;
}

bool SwitchController::isComplete() const
{
    return groupSize_ > 0 && reports_.size() == groupSize_;
}

void SwitchController::enter(SwitchStage stage)
{
    stage_ = stage;
    stageSince_ = clock_.now();
    orderedAt_.clear();
    unarmableSince_.reset();
}

void SwitchController::prepare()
{
    bool isDone = true;
    for (const auto& [rank, report] : reports_) {
        if (report.prepared == version_)
            continue;
        isDone = false;
        order(rank, RankOrderKind::Prepare, loadResendDelay_);
    }
    if (isDone) {
        holdRank_ = (localRank_ + 1) % groupSize_;
        enter(SwitchStage::Holding);
        hold();
        return;
    }
    if (clock_.now() - stageSince_ > settings_.prepareTimeout) {
        ++counters_.givenUp;
        logDecision_("map was not loaded everywhere in time", version_, 0);
        enter(SwitchStage::Idle);
    }
}

void SwitchController::hold()
{
    const RankReport& holder = reports_[holdRank_];
    bool holdsOtherPass = holder.heldPass && *holder.heldPass > lastPass();
    // An earlier hold was executed late. Its pass can be used instead, because no rank has been armed yet.
    if (holdsOtherPass)
        pass_ = *holder.heldPass;
    if (pass_ != 0 && holder.heldPass == pass_) {
        enter(SwitchStage::Arming);
        arm();
        return;
    }
    if (pass_ != 0 && lastPass() >= pass_)
        selectLaterPass();
    if (clock_.now() - stageSince_ > settings_.holdTimeout) {
        ++counters_.givenUp;
        logDecision_("pass was not held in time", version_, pass_);
        enter(SwitchStage::Idle);
        return;
    }
    // A group that is not open refuses holds.
    if (!holder.isOpen)
        return;
    if (pass_ == 0) {
        pass_ = expectedPass() + leadPasses();
        passSelectedAt_ = clock_.now();
        orderedAt_.clear();
    }
    order(holdRank_, RankOrderKind::Hold, settings_.resendDelay);
}

// Returns whether each rank is armed with the map of the change, or is not armed and has loaded it.
bool SwitchController::canAllBeArmed() const
{
    return std::all_of(reports_.begin(), reports_.end(), [this](const auto& entry) {
        const RankReport& report = entry.second;
        return report.armed ? report.armed->version == version_ : report.prepared == version_;
    });
}

void SwitchController::startRestore()
{
    ++counters_.restored;
    map_ = nullptr;
    version_ = std::max(highestVersion() + 1, fencingToken_ * versionsPerTerm);
    highestUsedVersion_ = version_;
    logDecision_("map in use is reloaded", version_, pass_);
    enter(SwitchStage::Restoring);
    restore();
}

// The pass stays held during the reload. No controller has released it, because a pass for which a rank may be armed is
// released only after all ranks were armed with the same map.
void SwitchController::restore()
{
    if (!map_) {
        std::optional<GroupMap> inUse = mapInUse_();
        if (!inUse)
            return;
        map_ = std::make_shared<const GroupMap>(*std::move(inUse));
    }
    bool isDone = true;
    for (const auto& [rank, report] : reports_) {
        if (!report.armed && report.prepared == version_)
            continue;
        isDone = false;
        if (report.armed)
            order(rank, RankOrderKind::Disarm, settings_.resendDelay, report.armed->version, pass_);
        else
            order(rank, RankOrderKind::Prepare, loadResendDelay_);
    }
    if (!isDone)
        return;
    passSelectedAt_ = clock_.now();
    enter(SwitchStage::Arming);
    arm();
}

void SwitchController::arm()
{
    if (canAllBeArmed() || lastPass() >= pass_)
        unarmableSince_.reset();
    else if (!unarmableSince_)
        unarmableSince_ = clock_.now();
    if (unarmableSince_ && clock_.now() - *unarmableSince_ >= settings_.restoreAfter) {
        startRestore();
        return;
    }
    bool isDone = true;
    ArmedMap target { version_, pass_ };
    for (const auto& [rank, report] : reports_) {
        if (report.armed == target)
            continue;
        isDone = false;
        // The local rank is armed last. If this process is paused, the next controller can tell from the other ranks
        // that the local rank is not armed.
        if (rank != localRank_ || areOtherRanksArmed())
            order(rank, RankOrderKind::Arm, settings_.resendDelay);
    }
    // If the pass has begun, another controller has released it: after it had seen all ranks armed, or because no rank
    // could be armed for it.
    if (!isDone && lastPass() < pass_)
        return;
    if (isDone)
        armTime_ = clock_.now() - passSelectedAt_;
    enter(SwitchStage::Releasing);
    release();
}

void SwitchController::release()
{
    bool isSwitched = std::all_of(reports_.begin(), reports_.end(), [this](const auto& entry) { return entry.second.mapVersion == version_; });
    if (isSwitched && lastPass() >= pass_) {
        ++counters_.completed;
        lastChangeTime_ = clock_.now() - changeStartedAt_;
        extraPasses_ = 0;
        logDecision_("change completed", version_, pass_);
        enter(SwitchStage::Idle);
        return;
    }
    if (clock_.now() - stageSince_ > settings_.releaseTimeout && lastPass() >= pass_) {
        ++counters_.givenUp;
        logDecision_("pass begun, but not all ranks report the map", version_, pass_);
        enter(SwitchStage::Idle);
        return;
    }
    for (const auto& [rank, report] : reports_) {
        // A hold that was executed late may stop the group before the pass of the switch.
        if (report.heldPass && *report.heldPass > lastPass() && *report.heldPass <= pass_)
            order(rank, RankOrderKind::Go, settings_.resendDelay, version_, *report.heldPass);
    }
}

bool SwitchController::areOtherRanksArmed() const
{
    return std::all_of(reports_.begin(), reports_.end(), [this](const auto& entry) {
        return entry.first == localRank_ || entry.second.armed == ArmedMap { version_, pass_ };
    });
}

// Completes a change that a previous controller left unfinished, and releases holds that were executed late.
void SwitchController::resumeUnfinishedChange()
{
    std::optional<ArmedMap> armed;
    std::optional<std::uint64_t> held;
    std::uint32_t holder = holdRank_;
    bool areAllArmed = true;
    bool isAnyPrepared = false;
    for (const auto& [rank, report] : reports_) {
        if (report.armed && (!armed || report.armed->version > armed->version))
            armed = report.armed;
        areAllArmed = areAllArmed && report.armed;
        isAnyPrepared = isAnyPrepared || report.prepared.value_or(0) > mapVersion();
        if (report.heldPass && *report.heldPass > lastPass()) {
            held = report.heldPass;
            holder = rank;
        }
    }
    if (!armed && !held)
        return;
    if (areAllArmed && !held)
        return;
    ++counters_.resumed;
    pass_ = held ? *held : armed->pass;
    if (armed) {
        version_ = armed->version;
    } else {
        if (!isAnyPrepared) {
            // No rank has prepared a newer map, so late orders to arm a rank have no effect. This is logged when the order
            // to release the pass is sent, not when it has been executed.
            logDecision_("stray hold released", mapVersion(), pass_);
            version_ = mapVersion();
            order(holder, RankOrderKind::Go, settings_.resendDelay);
            return;
        }
        // No rank is armed yet. If all ranks have loaded the same map, a previous controller may have sent orders to arm
        // them, and these may still be executed at any time. Therefore the change must be completed.
        version_ = reports_.begin()->second.prepared.value_or(0);
    }
    passSelectedAt_ = clock_.now();
    changeStartedAt_ = clock_.now();
    logDecision_("unfinished change resumed", version_, pass_);
    enter(SwitchStage::Arming);
    arm();
}

void SwitchController::order(std::uint32_t rank, RankOrderKind kind, std::chrono::milliseconds resendDelay)
{
    order(rank, kind, resendDelay, version_, pass_);
}

void SwitchController::order(std::uint32_t rank, RankOrderKind kind, std::chrono::milliseconds resendDelay, RankMapVersion version, std::uint64_t pass)
{
    auto ordered = orderedAt_.find(rank);
    if (ordered != orderedAt_.end() && clock_.now() - ordered->second < resendDelay)
        return;
    orderedAt_[rank] = clock_.now();
    RankOrder order;
    order.kind = kind;
    order.fencingToken = fencingToken_;
    order.epoch = epoch_;
    order.version = version;
    order.pass = pass;
    if (kind == RankOrderKind::Prepare)
        order.map = map_;
    sendOrder_(rank, order);
}

std::uint64_t SwitchController::lastPass() const
{
    std::uint64_t pass = 0;
    for (const auto& [rank, report] : reports_)
        pass = std::max(pass, report.pass);
    return pass;
}

// Returns the estimate of the last pass that the group has begun by now, from the measured time of a pass.
std::uint64_t SwitchController::expectedPass() const
{
    double elapsed = std::chrono::duration<double>(clock_.now() - highestPassSeenAt_).count();
    double limit = static_cast<double>(settings_.maxLeadPasses);
    return lastPass() + static_cast<std::uint64_t>(std::min(limit, elapsed / passSeconds_));
}

std::uint64_t SwitchController::leadPasses() const
{
    bool isOrderLossRecent = lastLostOrderAt_ && clock_.now() - *lastLostOrderAt_ < settings_.lossWindow;
    double seconds = std::chrono::duration<double>(isOrderLossRecent ? settings_.leadAfterLoss : settings_.lead).count();
    seconds = std::max(seconds, std::chrono::duration<double>(armTime_).count() * settings_.leadPerArmTime);
    auto passes = static_cast<std::uint64_t>(std::ceil(seconds / passSeconds_));
    return std::clamp(passes + extraPasses_, settings_.minLeadPasses, settings_.maxLeadPasses);
}

void SwitchController::measurePasses()
{
    constexpr double minimumSampleSeconds = 0.2;
    std::uint64_t pass = lastPass();
    if (pass != highestPass_) {
        highestPass_ = pass;
        highestPassSeenAt_ = clock_.now();
    }
    double elapsed = std::chrono::duration<double>(clock_.now() - sampledAt_).count();
    if (elapsed < minimumSampleSeconds)
        return;
    if (pass > sampledPass_ && sampledPass_ > 0)
        passSeconds_ = elapsed / static_cast<double>(pass - sampledPass_);
    sampledPass_ = pass;
    sampledAt_ = clock_.now();
}

RankMapVersion SwitchController::highestVersion() const
{
    RankMapVersion highest = highestUsedVersion_;
    for (const auto& [rank, report] : reports_) {
        highest = std::max(highest, report.mapVersion);
        highest = std::max(highest, report.prepared.value_or(0));
        highest = std::max(highest, report.armed ? report.armed->version : 0);
    }
    return highest;
}

}

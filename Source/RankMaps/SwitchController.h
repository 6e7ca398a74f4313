#pragma once

#include "Core/Clock.h"
#include "RankMaps/RankReport.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace Damaskgrade {

struct SwitchControllerSettings {
    // Time between the selection of the pass of the switch and the start of that pass: a few round trips to agents and
    // engines, so that all orders arrive before the pass and the group does not have to wait.
    std::chrono::milliseconds lead { 130 };
    // The lead is at least the time that the last change took from the selection of the pass until the last rank was
    // armed, multiplied by this factor.
    double leadPerArmTime { 1.4 };
    // The lead while engines do not respond to some orders: time to resend an order twice.
    std::chrono::milliseconds leadAfterLoss { 420 };
    // How long leadAfterLoss is used after an order without a response.
    std::chrono::milliseconds lossWindow { 10000 };
    // Bounds of the lead, in passes. The upper one also bounds how many passes are estimated to have begun since the last
    // report.
    std::uint64_t minLeadPasses { 2 };
    std::uint64_t maxLeadPasses { 40 };
    // Each hold that arrives too late adds a pass to the lead, up to this number of passes.
    std::uint64_t maxExtraPasses { 6 };
    // An order whose effect does not show in the rank's report is resent after this time, and at once if the agent reports
    // that the engine did not respond. So this time matters only for agents that do not respond themselves.
    std::chrono::milliseconds resendDelay { 400 };
    // The change is given up if the map is not loaded on all ranks within this time.
    std::chrono::milliseconds prepareTimeout { 5000 };
    // The change is given up if the pass of the switch is not held within this time.
    std::chrono::milliseconds holdTimeout { 2000 };
    // The map in use is reloaded only after the reports have shown for this time (two rounds of reports) that a rank has
    // replaced the map of the change.
    std::chrono::milliseconds restoreAfter { 150 };
    // The change is given up if the pass of the switch has begun, but not all ranks report the map of the change within
    // this time.
    std::chrono::milliseconds releaseTimeout { 3000 };
};

enum class SwitchStage {
    // No change is in progress.
    Idle,
    Preparing,
    // Waits until one rank holds the pass of the switch.
    Holding,
    // The pass is held. Orders to arm are sent until all ranks are armed; there is no timeout.
    Arming,
    // The ranks can no longer all be armed with the same map. The map in use is reloaded with a higher version, and then
    // armed for the held pass.
    Restoring,
    // All ranks are armed. The held pass is released.
    Releasing,
};

struct SwitchCounters {
    std::uint64_t started { 0 };
    std::uint64_t completed { 0 };
    std::uint64_t givenUp { 0 };
    // Unfinished changes and holds of a previous controller that this controller took over.
    std::uint64_t resumed { 0 };
    // Changes replaced by a reload of the map in use, because two controllers sent conflicting orders.
    std::uint64_t restored { 0 };
};

// Switches all ranks of a group to a new map in the same pass. One rank holds the pass of the switch before any rank is
// armed. Once a rank may be armed, the pass is released only after every rank has reported that it is armed for it with
// the same map. Before that, only a group restart ends the change: this controller, or the next one, which detects the
// change from the reports, continues until all ranks are armed. An order that is executed after the completion has no
// effect, because its pass has begun. If no rank can be armed, a held pass is released without a change.
//
// If two controllers have sent orders at the same time and some ranks have replaced the map of the change, all ranks
// are sent a map with a new version and the contents of the map in use. Ranks that have loaded it refuse late orders for
// the other maps.
//
// This protocol is for engines of the users' platform, whose controllers are rank agents; it consists of SwitchController,
// GroupControl, RankAgent, RankEngine and GroupMap. The protocol of MapSwitch does the same for the product's own model
// engines, with entries as controllers (see MapController). An epoch counts group restarts here, whereas an Epoch of
// MapSwitch is one change or recovery.
class SwitchController {
public:
    using SendOrder = std::function<void(std::uint32_t rank, const RankOrder& order)>;
    // Writes a decision, with its reason, to the log.
    using LogDecision = std::function<void(std::string_view decision, RankMapVersion version, std::uint64_t pass)>;
    // Returns the contents of the map in use, or std::nullopt while they are not known.
    using MapInUse = std::function<std::optional<GroupMap>()>;

    // localRank is the rank on the machine of this controller.
    SwitchController(const Clock& clock, SwitchControllerSettings settings, std::uint32_t localRank, SendOrder sendOrder, MapInUse mapInUse, LogDecision logDecision);

    void setFencingToken(std::uint64_t token) { fencingToken_ = token; }

    // Sets after which time an order to load a map is resent: the time that the map needs to reach all ranks.
    void setLoadResendDelay(std::chrono::milliseconds delay) { loadResendDelay_ = std::max(delay, settings_.resendDelay); }

    void observe(const RankReport& report);
    void handleOrderResult(std::uint32_t rank, RankOrderKind kind, RankMapVersion version, std::uint64_t pass, RankOrderResult result);

    // Sends the orders that are due. Must be called often while a change is in progress.
    void tick();

    // To be called if only the rank of the previous controller has not reported. Releases a held pass if no other rank can
    // be armed for it. The missing rank is then not armed either, because a controller arms its local rank last.
    void tickWithoutPredecessor();

    // Returns whether a change can start: all ranks are known, the group is open, all ranks use the same map, and no
    // rank is armed or held.
    bool canStart() const;

    // Starts a change to this map. Requires canStart().
    void start(const GroupMap& map);

    // Discards all reports, and with them any change in progress, for example after a process pause.
    void reset();

    // Returns whether the next step of the change waits for a report of this rank.
    bool isWaitingFor(std::uint32_t rank) const;

    // Returns whether the change needs the contents of the map in use to continue.
    bool needsMapInUse() const { return stage_ == SwitchStage::Restoring && !map_; }

    SwitchStage stage() const { return stage_; }
    RankMapVersion mapVersion() const;
    std::uint64_t epoch() const { return epoch_; }
    const std::map<std::uint32_t, RankReport>& reports() const { return reports_; }
    const SwitchCounters& counters() const { return counters_; }
    // From the start of the last completed change until all ranks reported its map.
    Duration lastChangeTime() const { return lastChangeTime_; }

    // Returns whether every rank of the group has reported in this epoch.
    bool isComplete() const;

private:
    void enter(SwitchStage stage);
    void prepare();
    void hold();
    void selectLaterPass();
    void arm();
    bool canAllBeArmed() const;
    void startRestore();
    void restore();
    void release();
    void resumeUnfinishedChange();
    bool areOtherRanksArmed() const;
    void order(std::uint32_t rank, RankOrderKind kind, std::chrono::milliseconds resendDelay);
    void order(std::uint32_t rank, RankOrderKind kind, std::chrono::milliseconds resendDelay, RankMapVersion version, std::uint64_t pass);
    std::uint64_t lastPass() const;
    std::uint64_t expectedPass() const;
    std::uint64_t leadPasses() const;
    void measurePasses();
    RankMapVersion highestVersion() const;

    const Clock& clock_;
    SwitchControllerSettings settings_;
    std::uint32_t localRank_;
    // The rank that holds the pass of the switch, set when all ranks have loaded the map. Except in a group of one, it is
    // not the local rank, so that a pause of one machine does not stop both the controller and the rank that holds the
    // pass.
    std::uint32_t holdRank_;
    SendOrder sendOrder_;
    MapInUse mapInUse_;
    LogDecision logDecision_;
    std::uint64_t fencingToken_ { 0 };
    std::chrono::milliseconds loadResendDelay_;

    std::uint64_t epoch_ { 0 };
    std::uint32_t groupSize_ { 0 };
    std::map<std::uint32_t, RankReport> reports_;

    SwitchStage stage_ { SwitchStage::Idle };
    TimePoint stageSince_;
    TimePoint changeStartedAt_;
    Duration lastChangeTime_ { 0 };
    RankMapVersion version_ { 0 };
    RankMapVersion highestUsedVersion_ { 0 };
    std::uint64_t pass_ { 0 };
    // Passes added to the lead, because earlier holds arrived after their pass had begun.
    std::uint64_t extraPasses_ { 0 };
    std::optional<TimePoint> lastLostOrderAt_;
    // Time from the selection of the pass until the last rank was armed, in the last change.
    Duration armTime_ { 0 };
    TimePoint passSelectedAt_;
    // Since when a rank can't be armed with the map of the change.
    std::optional<TimePoint> unarmableSince_;
    // For the measurement of the time of a pass: last sample, and the result in seconds.
    std::uint64_t sampledPass_ { 0 };
    TimePoint sampledAt_;
    double passSeconds_ { 0.05 };
    // The highest pass reported so far, and when it was first reported.
    std::uint64_t highestPass_ { 0 };
    TimePoint highestPassSeenAt_;
    std::shared_ptr<const GroupMap> map_;
    std::map<std::uint32_t, TimePoint> orderedAt_;
    SwitchCounters counters_;
};

}

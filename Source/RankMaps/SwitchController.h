#pragma once

#include "Core/Clock.h"
#include "RankMaps/RankReport.h"

#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace Damaskgrade {

struct SwitchControllerSettings {
    // Time between the choice of the pass of the switch and its begin, so that all orders arrive before it
    // and the group does not have to wait: a few round trips to agents and engines.
    std::chrono::milliseconds lead { 130 };
    // The last change may have taken longer from the choice to the last rank that was armed. The lead is
    // this times as long.
    double leadPerArmTime { 1.4 };
    // The same while engines leave orders unanswered: time for two repetitions of an order.
    std::chrono::milliseconds leadAfterLoss { 420 };
    // How long an unanswered order counts for that.
    std::chrono::milliseconds lossWindow { 10000 };
    // Bounds of the lead in passes.
    std::uint64_t minPasses { 3 };
    std::uint64_t maxPasses { 40 };
    // Passes by which the lead grows at most after holds that came too late; each one adds a pass.
    std::uint64_t maxExtraPasses { 6 };
    // An order that does not show in the rank's report is given again after this time, and at once if it is known
    // that it got no answer. Agents tell that, so this is for agents that don't answer themselves.
    std::chrono::milliseconds resendDelay { 400 };
    // A map that is not loaded everywhere by then is given up.
    std::chrono::milliseconds prepareTimeout { 5000 };
    std::chrono::milliseconds holdTimeout { 2000 };
    // A rank that has replaced the map of the change has to show it for this long, two rounds of reports, before
    // the change is undone.
    std::chrono::milliseconds restoreAfter { 150 };
    std::chrono::milliseconds releaseTimeout { 3000 };
};

enum class SwitchStage {
    // No change is under way.
    Idle,
    Preparing,
    // Waits until one rank holds the pass of the switch.
    Holding,
    // The pass is held. All ranks are armed, whatever that takes.
    Arming,
    // Ranks can't all be armed with one map any more: the map in use is loaded anew under a higher version, to
    // be armed for the pass that is held.
    Restoring,
    // All ranks are armed; the pass is let go.
    Releasing,
};

struct SwitchCounters {
    std::uint64_t started { 0 };
    std::uint64_t completed { 0 };
    std::uint64_t givenUp { 0 };
    // Passes that were found held or armed by an earlier controller.
    std::uint64_t resumed { 0 };
    // Changes that two controllers got in each other's way with.
    std::uint64_t restored { 0 };
};

// Changes the map of a group in one pass on all ranks. A pass is held by one rank before any rank is
// armed, and let go only after every rank has reported that it is armed for it. Once a rank may be armed
// a change is carried through, by this controller or by the next one, which finds it in the reports. So an
// order that is carried out late finds its pass begun, and has no effect. Where some ranks have replaced the
// map of the change, all ranks are given one that is new to them: it has the contents of the map in use, and
// late orders for the other maps are refused by ranks that have loaded it.
class SwitchController {
public:
    using SendOrder = std::function<void(std::uint32_t rank, const RankOrder& order)>;
    // Gets what was decided and why, for the log.
    using LogDecision = std::function<void(std::string_view decision, RankMapVersion version, std::uint64_t pass)>;
    // Returns the contents of the map in use once they are known.
    using MapInUse = std::function<std::optional<GroupMap>()>;

    // The own rank is the one on the machine of this controller.
    SwitchController(const Clock& clock, SwitchControllerSettings settings, std::uint32_t localRank, SendOrder sendOrder, MapInUse mapInUse, LogDecision logDecision);

    void setFencingToken(std::uint64_t token) { fencingToken_ = token; }

    void observe(const RankReport& report);
    void handleOrderResult(std::uint32_t rank, RankOrderKind kind, RankMapVersion version, std::uint64_t pass, RankOrderResult result);

    // Gives orders that are due. Call often while a change is under way.
    void tick();

    // The rank of the last controller does not answer, while all others have been heard of. Lets a held pass go
    // that no rank can be armed for: a controller arms its own rank last.
    void tickWithoutPredecessor();

    // Says whether all ranks are known, in one open epoch, with one map and nothing under way.
    bool canStart() const;

    // Starts a change. Only if canStart().
    void start(const GroupMap& map);

    // Forgets everything about the group, for example when another controller has taken over.
    void reset();

    // Says whether the next step of the change waits for a report of this rank.
    bool isWaitingFor(std::uint32_t rank) const;

    // Says whether the change can't go on without the contents of the map in use.
    bool needsMapInUse() const { return stage_ == SwitchStage::Restoring && !map_; }

    SwitchStage stage() const { return stage_; }
    RankMapVersion mapVersion() const;
    std::uint64_t epoch() const { return epoch_; }
    const std::map<std::uint32_t, RankReport>& reports() const { return reports_; }
    const SwitchCounters& counters() const { return counters_; }

    // Says whether every rank of the group has been heard of in this epoch.
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
    // The rank that holds the pass of the switch. Another one than the own, so that a machine that stands still
    // right after an order does not keep both the pass and the controller.
    std::uint32_t holdRank_;
    SendOrder sendOrder_;
    MapInUse mapInUse_;
    LogDecision logDecision_;
    std::uint64_t fencingToken_ { 0 };

    std::uint64_t epoch_ { 0 };
    std::uint32_t groupSize_ { 0 };
    std::map<std::uint32_t, RankReport> reports_;

    SwitchStage stage_ { SwitchStage::Idle };
    TimePoint stageSince_;
    RankMapVersion version_ { 0 };
    RankMapVersion highestUsedVersion_ { 0 };
    std::uint64_t pass_ { 0 };
    // Added after a pass that was chosen had begun too early.
    std::uint64_t extraPasses_ { 0 };
    std::optional<TimePoint> lastLostOrderAt_;
    // Time from the choice of the pass to the last rank that was armed, of the last change.
    Duration armTime_ { 0 };
    TimePoint passSelectedAt_;
    // Since when some rank can't be armed with the map of the change.
    std::optional<TimePoint> unarmableSince_;
    // For the time of a pass.
    std::uint64_t sampledPass_ { 0 };
    TimePoint sampledAt_;
    double passSeconds_ { 0.05 };
    // The highest pass reported, and when it was first heard of.
    std::uint64_t highestPass_ { 0 };
    TimePoint highestPassSeenAt_;
    std::shared_ptr<const GroupMap> map_;
    std::map<std::uint32_t, TimePoint> orderedAt_;
    SwitchCounters counters_;
};

}

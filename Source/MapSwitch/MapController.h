#pragma once

#include "Core/Clock.h"
#include "Core/Random.h"
#include "MapSwitch/GroupRow.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Damaskgrade {

struct MapControllerSettings {
    std::string name;
    std::string group;
    // The names of all agents of the group.
    std::vector<std::string> members;
    std::chrono::milliseconds leaseDuration { 5000 };
    // Orders without a confirming response are resent at this interval.
    std::chrono::milliseconds orderInterval { 100 };
    // A change is given up if the engines have not loaded its map after this time.
    std::chrono::milliseconds prepareTimeout { 30000 };
    // After this time, the controller leaves the outcome of an arm or release to the votes of the agents,
    // and starts a recovery of a group that is still blocked.
    std::chrono::milliseconds voteTimeout { 1000 };
    // The minimum number of steps between the last reported step and the switch, so that the orders
    // arrive in time. The margin in use is doubled after a change that fails while arming, and halved
    // after one that succeeds.
    std::uint64_t stepMargin { 20 };
};

// The current activity of a group's controller.
enum class MapStage {
    // No change or recovery is running, or the controller does not hold the lease. A holder of the lease polls the group.
    Watching,
    Preparing,
    Arming,
    Releasing,
    Recovering,
};

// Counts events since the controller was created.
struct MapControllerCounters {
    std::uint64_t leases { 0 };
    std::uint64_t switches { 0 };
    // Changes that were given up: the group uses the old map.
    std::uint64_t aborts { 0 };
    std::uint64_t recoveries { 0 };
};

// Changes the expert map of one group while it holds the group's lease. Each entry has one controller
// per group; the group's row in the table determines which of them holds the lease.
//
// This protocol is for the product's own model engines; it consists of MapController, MapAgent, MapEngine and ExpertMap.
// The protocol of RankMaps does the same for engines of the users' platform, with rank agents as controllers (see
// SwitchController). An Epoch is one change or recovery here, whereas an epoch of RankMaps counts group restarts.
class MapController {
public:
    MapController(const MapControllerSettings& settings, const Clock& clock, Table& table, Random& random,
        std::function<void(const std::string& agent, const MapOrderMessage&)> sendOrder);

    // Renews the lease and sends orders. Must be called every few tens of milliseconds.
    void tick();
    // Records the state of the engine. Ignores results without the lease, for another epoch than the last one in the row,
    // and of agents that rejected the fencing token or did not know the current one.
    void receive(const MapOrderResultMessage& result);

    // Requests a change to this map. Replaces an earlier request that has not been started. A change that
    // was given up is not retried, because the load that caused it may have changed.
    void request(const std::string& map);

    bool holdsLease() const;
    // Returns whether no change or recovery is running, no change waits for its outcome to be recorded, and no map is
    // requested.
    bool isIdle() const;
    MapStage stage() const;
    // The holder of the lease, the target of the change, and the version in force, as of the last read of the row.
    const std::string& holder() const { return row_.holder; }
    MapVersion targetVersion() const { return row_.target; }
    MapVersion versionInForce() const { return row_.inForce; }
    const MapControllerCounters& counters() const { return counters_; }

private:
    enum class Phase {
        // Polls the group, records the outcome of an earlier change, and recovers a group that can't step.
        Observing,
        Preparing,
        Arming,
        Releasing,
        RecoveryArming,
        RecoveryReading,
        RecoveryPreparing,
        RecoveryReleasing,
    };

    void readRow();
    void onRowRead(const TableReadResult& result);
    void tryAcquireLease();
    void writeRow(const GroupRow& row, const std::vector<TableWrite>& additionalWrites, const std::function<void()>& applied);
    void applyRow(const TableRow& row);
    void onLeaseLost();

    void enterPhase(Phase phase);
    void runPhase();
    void observeGroup();
    void recordOutcome(MapVersion version);
    void prepare();
    void arm();
    void release();
    void startChange();
    void startRecovery();
    void armRecovery();
    void readRecoveryMap();
    void prepareRecovery();

    using StateCheck = std::function<bool(const MapEngineState&)>;
    void sendOrders(MapOrderKind kind, std::uint64_t step, MapVersion version, const StateCheck& isDone);
    bool allMembers(const StateCheck& check) const;
    bool anyMember(const StateCheck& check) const;
    bool hasTimedOut(std::chrono::milliseconds limit) const;

    MapControllerSettings settings_;
    const Clock& clock_;
    Table& table_;
    Random& random_;
    std::function<void(const std::string& agent, const MapOrderMessage&)> sendOrder_;

    GroupRow row_;
    RowVersion rowVersion_ { absentVersion };
    bool hasReadRow_ { false };
    TimePoint rowUnchangedSince_;
    TimePoint nextRead_;
    bool isTableBusy_ { false };

    // The fencing token of the lease, or zero if this controller does not hold it.
    std::uint64_t token_ { 0 };
    TimePoint leaseUntil_;
    TimePoint renewAt_;
    std::string pendingWriteId_;
    TimePoint pendingWriteStart_;
    std::function<void()> pendingApplied_;

    Phase phase_ { Phase::Observing };
    TimePoint phaseSince_;
    TimePoint nextOrder_;
    // Since when all agents report a state, but an engine has no map, is armed or uses another map than the others.
    std::optional<TimePoint> inconsistentSince_;
    // The engine states reported in the current phase for the current epoch, by agent.
    std::map<std::string, MapEngineState> states_;
    std::optional<std::string> requestedMap_;
    std::string payload_;
    MapVersion changeVersion_ { noMap };
    std::uint64_t step_ { 0 };
    std::uint64_t stepMargin_;

    MapControllerCounters counters_;
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

}

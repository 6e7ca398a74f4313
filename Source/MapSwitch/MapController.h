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
    // All agents of the group.
    std::vector<std::string> members;
    std::chrono::milliseconds leaseDuration { 5000 };
    std::chrono::milliseconds orderInterval { 100 };
    // After this, a change that doesn't prepare is given up.
    std::chrono::milliseconds prepareTimeout { 30000 };
    // After this, a vote or a release is left to the agents, and a group that is still blocked is recovered.
    std::chrono::milliseconds voteTimeout { 1000 };
    // Steps between the last reported step and the switch, to let the orders arrive in time.
    // Doubled after a change that fails while arming, halved after one that doesn't.
    std::uint64_t stepMargin { 20 };
};

// What the controller of a group is doing.
enum class MapStage {
    // Watches the group, or does not hold its lease.
    Watching,
    Preparing,
    Arming,
    Releasing,
    Recovering,
};

struct MapControllerCounters {
    std::uint64_t leases { 0 };
    std::uint64_t switches { 0 };
    std::uint64_t aborts { 0 };
    std::uint64_t recoveries { 0 };
};

// Changes the expert map of one group while it holds the group's lease. Every entry runs one
// for each group; the row in the table decides which of them holds the lease.
class MapController {
public:
    MapController(const MapControllerSettings& settings, const Clock& clock, Table& table, Random& random,
        std::function<void(const std::string& agent, const MapOrderMessage&)> sendOrder);

    // Call every few tens of milliseconds.
    void tick();
    void receive(const MapOrderResultMessage& result);

    // Asks for a change to this map. Replaces a request that has not been started. A change that
    // is aborted is not repeated, because the load that asked for it may have changed.
    void request(const std::string& map);

    bool holdsLease() const;
    bool isIdle() const;
    MapStage stage() const;
    const std::string& holder() const { return row_.holder; }
    MapVersion targetVersion() const { return row_.target; }
    MapVersion versionInForce() const { return row_.inForce; }
    const MapControllerCounters& counters() const { return counters_; }

private:
    enum class Phase {
        // Watches the group; records the outcome of an older change; recovers a group that can't step.
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
    void watchGroup();
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

    // The token of the lease, or zero.
    std::uint64_t token_ { 0 };
    TimePoint leaseUntil_;
    TimePoint renewAt_;
    std::string pendingWriteId_;
    TimePoint pendingWriteStart_;
    std::function<void()> pendingApplied_;

    Phase phase_ { Phase::Observing };
    TimePoint phaseSince_;
    TimePoint nextOrder_;
    std::optional<TimePoint> unhealthySince_;
    // States reported in the current phase under the current epoch.
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

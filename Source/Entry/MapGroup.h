#pragma once

#include "Configuration/Document.h"
#include "MapSwitch/ExpertLoadMessages.h"
#include "MapSwitch/MapController.h"
#include "Placement/GroupLoadCollector.h"
#include "Placement/PlacementPolicy.h"
#include "Timeline/EventRecorder.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

struct MapGroupHooks {
    std::function<void(const std::string& agent, const MapOrderMessage&)> sendOrder;
    std::function<void(const std::string& agent, const ExpertLoadQuestionMessage&)> sendLoadRequest;
};

// One model group at one entry. While the entry holds the group's lease, it collects the load
// of the experts, decides about the map and has its controller change it.
class MapGroup {
public:
    MapGroup(const MapControllerSettings& settings, const Clock& clock, Table& table, Random& random, EventRecorder& events, MapGroupHooks hooks);

    // Sets the limits in force.
    void configure(const ModelSettings& model, const PlacementSettings& placement);

    // Call about every 10 ms.
    void tick();
    void receive(const MapOrderResultMessage& result) { controller_.receive(result); }
    void receive(const ExpertLoadMessage& load);

    const std::vector<std::string>& members() const { return settings_.members; }
    const MapController& controller() const { return controller_; }
    // The expected step-time skew with the map in force; 1 if this entry has no reports.
    double skew() const { return skew_; }
    // Bytes that the changes of this entry have moved.
    std::uint64_t bytesMoved() const { return bytesMoved_; }

private:
    void recordChanges();
    void recordStage(MapStage stage);
    void requestExpertLoad();
    void decide();
    bool hasMap();
    void readMap();
    void requestFirstMap();
    void placeExperts();
    void discardLoad();

    MapControllerSettings settings_;
    const Clock& clock_;
    Table& table_;
    EventRecorder& events_;
    MapGroupHooks hooks_;
    MapController controller_;
    GroupLoadCollector loads_;
    std::optional<ExpertLoadEstimate> estimate_;
    PlacementPolicySettings policySettings_;
    PlacementPolicy policy_;
    PlacementSettings limits_;
    // The map in force, read from the table, and its version there.
    std::optional<ExpertMap> map_;
    MapVersion mapVersion_ { noMap };
    bool isReadingMap_ { false };
    TimePoint nextPoll_;
    std::optional<TimePoint> lastChange_;
    // The bytes of the requested change, until it has been made.
    std::uint64_t requestedBytes_ { 0 };
    double skew_ { 1 };
    std::uint64_t bytesMoved_ { 0 };
    // What the last events reported.
    bool heldLease_ { false };
    MapStage lastStage_ { MapStage::Watching };
    MapControllerCounters lastCounters_;
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

}

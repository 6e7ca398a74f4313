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
    std::function<void(const std::string& agent, const ExpertLoadRequestMessage&)> sendLoadRequest;
};

// Manages the expert map of one model group on one entry. While the entry holds the group's lease, it collects
// the load of the experts, decides on map changes and requests them from the map controller.
class MapGroup {
public:
    MapGroup(const MapControllerSettings& settings, const Clock& clock, Table& table, Random& random, EventRecorder& events, MapGroupHooks hooks);

    // Applies the settings of the configuration in force.
    void configure(const ModelSettings& model, const PlacementSettings& placement);

    // Must be called about every 10 ms.
    void tick();
    void receive(const MapOrderResultMessage& result) { controller_.receive(result); }
    void receive(const ExpertLoadMessage& load);

    const std::vector<std::string>& members() const { return settings_.members; }
    const MapController& controller() const { return controller_; }
    // Returns the expected step-time skew with the map in force: the time of the slowest rank divided by the mean,
    // so that 1 means balanced. Returns 1 if this entry has no load reports.
    double skew() const { return skew_; }
    // Returns the number of bytes moved by map changes that this entry requested.
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
    PlacementSettings placement_;
    // The map that was last read from the table, and its version.
    std::optional<ExpertMap> map_;
    MapVersion mapVersion_ { noMap };
    bool isReadingMap_ { false };
    TimePoint nextPoll_;
    std::optional<TimePoint> lastRequestedAt_;
    // The bytes that the requested change moves, until it is completed or refused.
    std::uint64_t requestedBytes_ { 0 };
    double skew_ { 1 };
    std::uint64_t bytesMoved_ { 0 };
    // The states in the last recorded events.
    bool heldLease_ { false };
    MapStage lastStage_ { MapStage::Watching };
    MapControllerCounters lastCounters_;
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

}

#pragma once

#include "Core/Clock.h"
#include "Logging/DecisionLog.h"
#include "RankMaps/RankEngine.h"
#include "RankMaps/RankMessages.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Damaskgrade {

// Answers the controller of the group for one rank: reads its engine, and gives it orders of the
// controller with the highest term that it has heard of.
class RankAgent {
public:
    using SendStatus = std::function<void(const RankStatus&)>;
    using SendResult = std::function<void(const RankOrderResultMessage&)>;

    RankAgent(const Clock& clock, std::string name, Endpoint engineAddress, RankEngine& engine, DecisionLog& log);

    void receive(const RankStatusRequest& request, SendStatus respond);
    void receive(RankOrderMessage message, SendResult respond, SendStatus respondWithStatus);

    // A controller with this term was heard of by other means.
    void recordTerm(std::uint64_t term);

    // A controller is known to be there, though it has not asked yet.
    void recordController() { controllerLastSeen_ = clock_.now(); }

    // The engine was read by the owner of the agent.
    void recordReport(const RankReport& report) { report_ = report; }

    std::uint64_t term() const { return term_; }
    // The name of the last controller that asked, or nothing.
    const std::string& controller() const { return controller_; }
    // When a controller was last heard of.
    TimePoint controllerLastSeen() const { return controllerLastSeen_; }
    // Says whether messages of this group's controller are meant for another rank. The group of the own rank
    // is known once its engine was read.
    bool isOtherGroup(const std::string& group) const;

    // The last report of the engine.
    const std::optional<RankReport>& report() const { return report_; }

private:
    RankStatus emptyStatus() const;
    void completeStatus(const RankStatusRequest& request, std::shared_ptr<RankStatus> status, SendStatus respond);
    void completeReport(RankReport& report) const;
    bool reconstructMap(RankOrderMessage& message);
    void addCounts(const ExpertCounts& counts, RankStatus& status);

    const Clock& clock_;
    std::string name_;
    Endpoint engineAddress_;
    RankEngine& engine_;
    DecisionLog& log_;
    std::uint64_t term_ { 0 };
    std::string controller_;
    TimePoint controllerLastSeen_;
    std::optional<RankReport> report_;
    std::vector<double> lastCounts_;
    TimePoint startedAt_;
    // The highest pass of an order to arm the rank in this epoch.
    std::uint64_t highestArmOrderPass_ { 0 };
    std::uint64_t armOrderEpoch_ { 0 };
    // The last maps that were to be loaded, to which later ones are described by their differences.
    std::map<RankMapVersion, std::shared_ptr<const GroupMap>> maps_;
};

}

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

// Serves the controller of the group for one rank: reports the state of its engine, and passes on orders only from
// the controller with the highest term seen.
class RankAgent {
public:
    using SendStatus = std::function<void(const RankStatus&)>;
    using SendResult = std::function<void(const RankOrderResultMessage&)>;
    // Runs a task after a delay.
    using RunLater = std::function<void(std::chrono::milliseconds delay, std::function<void()> task)>;

    RankAgent(const Clock& clock, std::string name, Endpoint engineAddress, RankEngine& engine, RunLater runLater, DecisionLog& log);

    // Calls respond once with the status. Records the term, the name of the controller and that it was seen, unless the
    // request is from a controller of another group or of a lower term. To another group, responds with the last report;
    // to a lower term, without a report.
    void receive(const RankStatusRequest& request, SendStatus respond);
    // Calls respond with the result if the order was not accepted, and respondWithStatus once the engine has responded
    // to the order and, for an order to load a map, has loaded it. Ignores orders of another group.
    void receive(RankOrderMessage message, SendResult respond, SendStatus respondWithStatus);

    // Reads the counts of the engine and calls done with their difference to those of the last call, which are empty if
    // they are not known.
    void collectCounts(std::function<void(const CountSum&)> done);

    // Returns whether a message of a controller of this group and term must be handled. Records the term, and that the
    // controller was seen, if so.
    bool acceptController(const std::string& group, std::uint64_t term);

    // Records a term that was learned from another source than a message, such as the lease.
    void recordTerm(std::uint64_t term);

    // Records that there is a controller, although no message of it has been received yet.
    void recordController() { controllerLastSeen_ = clock_.now(); }

    // Records a report that the owner of the agent requested from the engine.
    void recordReport(const RankReport& report) { report_ = report; }

    std::uint64_t term() const { return term_; }
    // Name of the controller that sent the last status request; empty if there was none.
    const std::string& controller() const { return controller_; }
    // When a message of a controller was last received, or recordController() called.
    TimePoint controllerLastSeen() const { return controllerLastSeen_; }
    // Returns whether the group is another one than that of the local rank, so that messages of its controller must be
    // ignored. Returns false until the group of the local rank is known from a report.
    bool isOtherGroup(const std::string& group) const;

    // The last report of the engine.
    const std::optional<RankReport>& report() const { return report_; }

private:
    RankStatus emptyStatus() const;
    void readStatus(bool includeLists, SendStatus respond);
    void respondWhenLoaded(RankMapVersion version, int attempts, const SendStatus& respond);
    void addHighestArmOrderPass(RankReport& report) const;
    bool reconstructMap(RankOrderMessage& message);
    CountSum differenceToLastCounts(const ExpertCounts& counts);

    const Clock& clock_;
    std::string name_;
    Endpoint engineAddress_;
    RankEngine& engine_;
    RunLater runLater_;
    DecisionLog& log_;
    std::uint64_t term_ { 0 };
    std::string controller_;
    TimePoint controllerLastSeen_;
    std::optional<RankReport> report_;
    std::vector<double> lastCounts_;
    TimePoint startedAt_;
    // The highest pass of all orders to arm the rank in the epoch armOrderEpoch_.
    std::uint64_t highestArmOrderPass_ { 0 };
    std::uint64_t armOrderEpoch_ { 0 };
    // The maps of the last load orders. Later maps are encoded as differences to them.
    std::map<RankMapVersion, std::shared_ptr<const GroupMap>> maps_;
};

}

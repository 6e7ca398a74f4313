#pragma once

#include "Calls/CallMessages.h"
#include "Core/HybridClock.h"
#include "Entry/MapGroup.h"
#include "Metrics/MetricsPage.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Damaskgrade {

// Manages the expert maps of all model groups in the configuration in force, on one entry. Each group whose
// members are known has a map controller. The entry that holds the group's lease decides on changes.
class MapService {
public:
    using Send = std::function<void(const std::string& agent, const Frame& frame)>;

    MapService(const Clock& clock, Random& random, HybridClock& hybridClock, Table& table, EventRecorder& events, std::string name, Send send);

    // Applies the configuration in force. Stops managing groups that it does not contain.
    void apply(const Document& document);

    // Records the group members that an agent reports in its hello.
    void agentConnected(const HelloMessage& hello);

    // Handles a frame from an agent. Returns whether the frame type belongs to expert maps.
    // Throws Error(BadFrame) if the body can't be decoded.
    bool receive(const Frame& frame);

    // Must be called about every 10 ms.
    void tick();

    // Returns the state of each group, as a JSON array.
    std::string statusJson() const;
    void addMetrics(MetricsPage& page) const;

private:
    void update(const std::string& group);
    MapGroupHooks groupHooks();

    const Clock& clock_;
    Random& random_;
    HybridClock& hybridClock_;
    Table& table_;
    EventRecorder& events_;
    std::string name_;
    Send send_;
    Document document_;
    std::map<std::string, std::string> modelOfGroup_;
    std::map<std::string, std::vector<std::string>> members_;
    std::map<std::string, std::unique_ptr<MapGroup>> groups_;
};

}

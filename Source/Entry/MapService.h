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

// The expert maps of all model groups of the configuration in force, at one entry. Each group
// that has told its members gets a controller; the holder of the group's lease decides.
class MapService {
public:
    using Send = std::function<void(const std::string& agent, const Frame& frame)>;

    MapService(const Clock& clock, Random& random, HybridClock& hybridClock, Table& table, EventRecorder& events, std::string name, Send send);

    // Takes the configuration in force. Groups that it does not have are given up.
    void apply(const Document& document);

    // Takes the members of a group from an agent.
    void agentConnected(const HelloMessage& hello);

    // Takes a frame of an agent. Returns whether it was about expert maps.
    bool receive(const Frame& frame);

    // To be called about every 10 ms.
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

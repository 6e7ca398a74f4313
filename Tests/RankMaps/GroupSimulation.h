#pragma once

#include "Catalog/CatalogSource.h"
#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "Logging/DecisionLog.h"
#include "Platform/Table.h"
#include "RankMaps/GroupMember.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Damaskgrade {

struct GroupSimulationSettings {
    std::uint32_t ranks { 16 };
    std::uint32_t zones { 3 };
    std::uint32_t sets { 10 };
    std::uint32_t expertsPerSet { 384 };
    std::uint32_t slotsPerRank { 3 };
    std::uint32_t spareSlots { 2 };
    // Rate of the link of each machine, in each direction.
    double linkBytesPerSecond { 750000 };
    std::chrono::microseconds zoneDelay { 900 };
    // Share of the frames between machines that get lost. They arrive late, as a transport protocol sends them again.
    double lossShare { 0 };
    std::uint64_t seed { 1 };
};

class SimulatedGroup;

// A group of ranks with their agents, on links that have a rate and a queue, with simulated time. The agents are the real
// ones; engines, table and catalog are models.
class GroupSimulation {
public:
    explicit GroupSimulation(GroupSimulationSettings settings);
    ~GroupSimulation();
    GroupSimulation(const GroupSimulation&) = delete;
    GroupSimulation& operator=(const GroupSimulation&) = delete;

    void run(std::chrono::milliseconds time);

    // Draws the demand for the experts anew.
    void shiftDemand();

    void startAgent(std::uint32_t rank);
    void stopAgent(std::uint32_t rank);
    // The agent does nothing for this time; its timers and frames are handled afterwards.
    void pauseAgent(std::uint32_t rank, std::chrono::milliseconds time);
    // Frames from and to the agent are lost until the given time has passed.
    void cutAgent(std::uint32_t rank, std::chrono::milliseconds time);
    // The table answers no call for this time.
    void takeTableDown(std::chrono::milliseconds time);

    // Rank of the agent that controls the group and may plan changes, or the number of ranks if there is none.
    std::uint32_t controller() const;
    std::uint64_t term() const;
    // Changes of the map that took effect.
    std::uint64_t completedChanges() const;
    // Passes that began with two maps.
    std::uint64_t mixedPasses() const;
    std::uint64_t passes() const;
    // Load of the most loaded rank over the mean under the map in use, averaged over the sets.
    double skew() const;
    // How long the last change took, from its start until the first pass with the new map.
    Duration lastChangeTime() const;
    // Longest time without a pass.
    Duration longestHold() const;

    // The largest number of bytes that a machine has sent or received since the last call of resetTraffic().
    std::uint64_t mostBytesSent() const;
    std::uint64_t mostBytesReceived() const;
    std::uint64_t bytesBetweenZones() const;
    void resetTraffic();

    const GroupSimulationSettings& settings() const { return settings_; }

private:
    class Node;
    class NodeScheduler;
    class Links;
    class Session;
    class Engine;
    class MemoryTable;
    class FixedCatalog;

    enum class Receiver {
        Agent,
        // The engine on the machine, which goes on while the agent is paused or gone.
        Engine,
    };

    void schedule(std::uint32_t node, Duration delay, std::function<void()> task);
    // Transmits bytes from one node to another, and runs the task on the receiver. Nothing is lost on the way to oneself.
    void transmit(std::uint32_t from, std::uint32_t to, std::size_t bytes, std::function<void()> task, Receiver kind = Receiver::Agent);
    void beginPass();

    GroupSimulationSettings settings_;
    ManualClock clock_;
    Random random_;
    DecisionLog log_;
    std::multimap<TimePoint, std::function<void()>> tasks_;
    std::unique_ptr<MemoryTable> table_;
    std::unique_ptr<FixedCatalog> catalog_;
    std::unique_ptr<SimulatedGroup> group_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::uint64_t bytesBetweenZones_ { 0 };
};

}

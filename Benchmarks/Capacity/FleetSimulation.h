#pragma once

#include "Configuration/ChangeProtocol.h"
#include "Configuration/ConfigurationText.h"
#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "Measure.h"
#include "Membership/Membership.h"
#include "Platform/MemoryTable.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Damaskgrade {

// Returns a configuration document with this number of customers.
ConfigurationText makeDocument(int customers);

struct FleetCounters {
    std::uint64_t bytesSent { 0 };
    std::uint64_t messagesSent { 0 };
    std::uint64_t tableReads { 0 };
    std::uint64_t tableWrites { 0 };
    ProcessorTime time;
};

// Simulates entries with Membership and ChangeProtocol on a manual clock. They exchange encoded frames. Only the first
// two entries, a coordinator and a member, validate the document.
class FleetSimulation {
public:
    FleetSimulation(std::size_t slots, const ConfigurationText& text);

    void advance(Duration duration);
    void submit(const std::string& changeId, const std::string& section, const std::string& text);
    // Disconnects all but the first reachableCount entries. These can reach each other and, if isTableReachable, the table.
    void isolate(std::size_t reachableCount, bool isTableReachable);
    // Returns the number of reachable entries that admit calls.
    std::size_t admittingCount() const;
    // Returns true if all reachable entries have this version or a later one in force.
    bool isInForceEverywhere(ConfigurationVersion version) const;

    const FleetCounters& counters(std::size_t index) const { return entries_[index]->counters; }
    FleetCounters totalCounters() const;

    Membership& membership(std::size_t index) { return *entries_[index]->membership; }
    ChangeProtocol& protocol(std::size_t index) { return *entries_[index]->protocol; }
    const std::vector<std::string>& names() const { return names_; }
    TimePoint now() const { return clock_.now(); }

private:
    class EntryTableClient;

    struct Entry {
        std::unique_ptr<Table> table;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<ChangeProtocol> protocol;
        FleetCounters counters;
    };

    void start(std::size_t index);
    void post(std::size_t from, const std::string& to, const Frame& frame);
    void deliver(std::size_t from, std::size_t to, const Bytes& bytes);
    void schedule(Duration delay, std::function<void()> task);

    ManualClock clock_;
    Random random_;
    MemoryTable rows_;
    std::vector<std::string> names_;
    std::map<std::string, std::size_t> indexes_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::multimap<TimePoint, std::function<void()>> scheduledTasks_;
    std::size_t reachableCount_ { 0 };
    bool isTableReachable_ { true };
};

}

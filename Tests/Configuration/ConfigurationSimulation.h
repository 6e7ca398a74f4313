#pragma once

#include "Configuration/ChangeProtocol.h"
#include "Core/ManualClock.h"
#include "Membership/Membership.h"
#include "Platform/MemoryTable.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Damaskgrade {

enum class TableMode {
    Up,
    // Nothing is executed, and the client gets no answer.
    Down,
    // Everything is executed, and the client gets no answer.
    ResponsesLost,
    // Everything is executed, some of it long after the client has given up.
    Slow,
    // Reads are answered; writes are executed long after the client has given up.
    WritesDelayed,
};

struct NetworkMode {
    Duration maxDelay { std::chrono::milliseconds(10) };
    double lossShare { 0 };
    double duplicateShare { 0 };
};

struct ConfigurationSimulationCounters {
    std::size_t admissions { 0 };
    std::size_t admissionsUnderFaults { 0 };
    std::size_t accepted { 0 };
    std::size_t refused { 0 };
    std::size_t undecided { 0 };
    std::size_t versions { 0 };
};

// The guarantee of R15, stated without the mechanism. Throws std::runtime_error on a violation.
class ConfigurationOracle {
public:
    void admitted(const std::string& slot, ConfigurationVersion version, TimePoint now);
    void inForce(const std::string& slot, const CommittedDocument& document, TimePoint now);
    void reported(const ChangeRecord& change, TimePoint now);
    void refusedAtSubmission(const std::string& changeId) { refused_.insert(changeId); }

private:
    std::map<ConfigurationVersion, TimePoint> firstAdmitted_;
    std::map<ConfigurationVersion, TimePoint> accepted_;
    std::map<std::string, ConfigurationVersion> highest_;
    std::map<ConfigurationVersion, std::string> changeOfVersion_;
    std::set<std::string> refused_;
    std::set<std::string> inForceChanges_;
};

// Entries with a table and a network that fail on request, on one manual clock. Every entry is
// asked to admit work in every step.
class ConfigurationSimulation {
public:
    ConfigurationSimulation(std::size_t slotCount, std::uint64_t seed, TimeLimits limits = {});

    void advance(Duration duration);
    void kill(std::size_t index);
    void start(std::size_t index);
    void pause(std::size_t index) { at(index).isPaused = true; }
    void resume(std::size_t index) { at(index).isPaused = false; }
    // Entries whose bit in the mask differs can't reach each other. The table is on the side of its bit.
    void partition(unsigned mask, bool tableBit);
    void setTable(TableMode mode) { tableMode_ = mode; }
    void setNetwork(const NetworkMode& mode) { network_ = mode; }
    void clearFaults();
    // Frames for which it returns false are lost.
    void setFilter(std::function<bool(const std::string& to, const Frame&)> filter) { filter_ = std::move(filter); }
    // This entry finds every changed document invalid.
    void rejectChangesAt(std::size_t index) { rejectingIndex_ = index; }

    // Submits a change to an entry that runs. Returns the change id.
    std::string submit(std::size_t index, const std::string& section, ConfigurationVersion behind = 0);

    // Heals everything and checks that all entries agree and admit work.
    void checkConvergence();

    ConfigurationVersion inForceAt(std::size_t index);
    bool admits(std::size_t index);
    ChangeProtocol& protocol(std::size_t index) { return *at(index).protocol; }
    ChangeState stateOf(std::size_t index, const std::string& changeId) { return protocol(index).change(changeId).state; }
    const HeadRow head() const;
    const ConfigurationSimulationCounters& counters() const { return counters_; }
    // Changes that the operators were told were refused or invalid at once.
    const std::map<std::string, std::string>& submitErrors() const { return submitErrors_; }

private:
    class TableClient;

    struct Slot {
        std::string name;
        bool isPaused { false };
        std::uint32_t incarnation { 0 };
        std::unique_ptr<Table> table;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<ChangeProtocol> protocol;
    };

    struct Event {
        // The entry that handles the event, if it is not one of the table.
        std::optional<std::size_t> target;
        std::function<void()> run;
    };

    Slot& at(std::size_t index) { return slots_[index % slots_.size()]; }
    std::size_t indexOf(const std::string& name) const;
    void schedule(Duration delay, std::optional<std::size_t> target, std::function<void()> run);
    void runDueEvents();
    void observe(Slot& slot);
    void observeChanges(Slot& slot);
    void post(std::size_t from, const std::string& to, const Frame& frame);
    void deliver(std::size_t from, std::size_t to, const Frame& frame);
    bool isReachable(std::size_t from, std::size_t to) const;
    bool isFaulty() const;
    Duration randomDelay(Duration upperBound);
    MembershipHooks membershipHooks(std::size_t index);
    ChangeProtocolHooks protocolHooks(std::size_t index);

    TimeLimits limits_;
    ManualClock clock_;
    Random random_;
    MemoryTable rows_;
    std::vector<Slot> slots_;
    std::vector<std::string> names_;
    std::multimap<TimePoint, Event> events_;
    TableMode tableMode_ { TableMode::Up };
    NetworkMode network_;
    unsigned partitionMask_ { 0 };
    bool tableBit_ { false };
    bool isPartitioned_ { false };
    std::function<bool(const std::string&, const Frame&)> filter_;
    std::optional<std::size_t> rejectingIndex_;
    std::size_t nextChange_ { 1 };
    ConfigurationOracle oracle_;
    ConfigurationSimulationCounters counters_;
    std::map<std::string, ChangeState> lastStates_;
    std::map<std::string, std::string> submitErrors_;
};

}

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
    // Requests are not executed, and the client gets no response.
    Down,
    // Requests are executed, but the client gets no response.
    ResponsesLost,
    // Requests are executed, some of them long after the client timeout.
    Slow,
    // Reads are executed normally; writes are executed long after the client timeout.
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

// Checks the guarantee of requirement R15 independently of the protocol that implements it. Throws
// std::runtime_error on a violation.
class ConfigurationOracle {
public:
    void recordAdmission(const std::string& slot, ConfigurationVersion version, TimePoint now);
    void inForce(const std::string& slot, const CommittedDocument& document, TimePoint now);
    void recordReportedState(const ChangeRecord& change, TimePoint now);
    void refusedAtSubmission(const std::string& changeId) { refused_.insert(changeId); }

private:
    std::map<ConfigurationVersion, TimePoint> firstAdmitted_;
    std::map<ConfigurationVersion, TimePoint> accepted_;
    std::map<std::string, ConfigurationVersion> highest_;
    std::map<ConfigurationVersion, std::string> changeOfVersion_;
    std::set<std::string> refused_;
    std::set<std::string> inForceChanges_;
};

// Simulates entries that share a table, a network and one manual clock. The table and the network can be
// set to fail. In each step, the admission state of every running entry is checked.
class ConfigurationSimulation {
public:
    ConfigurationSimulation(std::size_t slotCount, std::uint64_t seed, TimeLimits limits = {});

    void advance(Duration duration);
    void kill(std::size_t index);
    void start(std::size_t index);
    void pause(std::size_t index) { at(index).isPaused = true; }
    void resume(std::size_t index) { at(index).isPaused = false; }
    // Entries whose bits in the mask differ can't reach each other. Only entries whose bit equals
    // tableBit can reach the table.
    void partition(unsigned mask, bool tableBit);
    void setTable(TableMode mode) { tableMode_ = mode; }
    void setNetwork(const NetworkMode& mode) { network_ = mode; }
    // Returns the rows of the table, and replaces them by earlier ones.
    MemoryTable copyTable() const { return rows_; }
    void restoreTable(MemoryTable copy) { rows_ = std::move(copy); }
    void clearFaults();
    // Frames for which the filter returns false are lost.
    void setFilter(std::function<bool(const std::string& to, const Frame&)> filter) { filter_ = std::move(filter); }
    // Makes this entry reject every changed document as invalid.
    void rejectChangesAt(std::size_t index) { rejectingIndex_ = index; }

    // Submits a change to an entry, based on the given number of versions behind its version in force.
    // Does nothing if the entry is not running or has no version in force. Returns the change id.
    std::string submit(std::size_t index, const std::string& section, ConfigurationVersion behind = 0);

    // Clears all faults and checks that all entries agree and admit work. Throws std::runtime_error
    // if not.
    void checkConvergence();

    ConfigurationVersion inForceAt(std::size_t index);
    bool admits(std::size_t index);
    ChangeProtocol& protocol(std::size_t index) { return *at(index).protocol; }
    ChangeState stateOf(std::size_t index, const std::string& changeId) { return protocol(index).change(changeId).state; }
    const HeadRow head() const;
    const ConfigurationSimulationCounters& counters() const { return counters_; }
    // The error message of each change that was rejected at submission, by change id.
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
        // The entry that handles the event; none for an event of the table.
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

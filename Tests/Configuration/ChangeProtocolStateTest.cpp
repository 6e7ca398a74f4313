#include "Configuration/ConfigurationSimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <iostream>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;

// The commands need no model: each is valid at any time, and ConfigurationOracle checks the results.
struct NoModel {
};

using Command = rc::state::Command<NoModel, ConfigurationSimulation>;

const char* const changedSections[] = { "models", "customers" };

int randomInt(int minimum, int end)
{
    return *rc::gen::inRange(minimum, end);
}

struct Advance : Command {
    int ticks { *rc::gen::weightedOneOf<int>({ { 4, rc::gen::inRange(1, 40) }, { 3, rc::gen::inRange(40, 160) }, { 1, rc::gen::inRange(280, 480) } }) };

    void run(const NoModel&, ConfigurationSimulation& simulation) const override { simulation.advance(ticks * milliseconds(25)); }
    void show(std::ostream& out) const override { out << "advance " << ticks * 25 << " ms"; }
};

struct Submit : Command {
    int entry { randomInt(0, 5) };
    int section { randomInt(0, 2) };
    int behind { *rc::gen::weightedElement<int>({ { 5, 0 }, { 1, 1 }, { 1, 2 } }) };

    void run(const NoModel&, ConfigurationSimulation& simulation) const override
    {
        simulation.submit(static_cast<std::size_t>(entry), changedSections[section], static_cast<ConfigurationVersion>(behind));
        simulation.advance(milliseconds(25));
    }
    void show(std::ostream& out) const override { out << "submit at " << entry << ", section " << changedSections[section] << ", " << behind << " versions behind"; }
};

// Two operators submit a change in the same step, possibly at different entries.
struct ConcurrentSubmits : Command {
    int first { randomInt(0, 5) };
    int second { randomInt(0, 5) };
    bool isSameSection { *rc::gen::arbitrary<bool>() };

    void run(const NoModel&, ConfigurationSimulation& simulation) const override
    {
        simulation.submit(static_cast<std::size_t>(first), changedSections[0]);
        simulation.submit(static_cast<std::size_t>(second), changedSections[isSameSection ? 0 : 1]);
        simulation.advance(milliseconds(25));
    }
    void show(std::ostream& out) const override { out << "concurrent submits at " << first << " and " << second << (isSameSection ? ", same section" : ", other section"); }
};

enum class ProcessAction {
    Kill,
    Start,
    Pause,
    Resume,
};

struct FaultProcess : Command {
    int entry { randomInt(0, 5) };
    int kind { randomInt(0, 4) };

    void run(const NoModel&, ConfigurationSimulation& simulation) const override
    {
        std::size_t index = static_cast<std::size_t>(entry);
        switch (static_cast<ProcessAction>(kind)) {
        case ProcessAction::Kill:
            return simulation.kill(index);
        case ProcessAction::Start:
            return simulation.start(index);
        case ProcessAction::Pause:
            return simulation.pause(index);
        case ProcessAction::Resume:
            return simulation.resume(index);
        }
    }
    void show(std::ostream& out) const override
    {
        static const char* const names[] = { "kill ", "start ", "pause ", "resume " };
        out << names[kind] << entry;
    }
};

struct Partition : Command {
    int mask { randomInt(0, 32) };
    bool tableBit { *rc::gen::arbitrary<bool>() };

    void run(const NoModel&, ConfigurationSimulation& simulation) const override { simulation.partition(static_cast<unsigned>(mask), tableBit); }
    void show(std::ostream& out) const override { out << "partition by mask " << mask << ", table with bit " << tableBit; }
};

struct FaultTable : Command {
    int mode { randomInt(0, 5) };

    void run(const NoModel&, ConfigurationSimulation& simulation) const override { simulation.setTable(static_cast<TableMode>(mode)); }
    void show(std::ostream& out) const override
    {
        static const char* const names[] = { "up", "down", "loses responses", "slow", "delays writes" };
        out << "table " << names[mode];
    }
};

struct FaultNetwork : Command {
    int maxDelay { *rc::gen::element(10, 10, 500, 6000) };
    int loss { *rc::gen::element(0, 0, 20, 60) };
    int duplicates { *rc::gen::element(0, 30) };

    void run(const NoModel&, ConfigurationSimulation& simulation) const override { simulation.setNetwork({ milliseconds(maxDelay), loss / 100.0, duplicates / 100.0 }); }
    void show(std::ostream& out) const override { out << "network with delays to " << maxDelay << " ms, " << loss << "% lost, " << duplicates << "% duplicated"; }
};

// Partitions the entries, or pauses or kills one of them, and then submits a change. Independent random
// commands rarely produce this order.
struct ChangeDuringFault : Command {
    int mask { randomInt(1, 31) };
    int kind { randomInt(0, 4) };
    int submitter { randomInt(0, 5) };
    int ticks { randomInt(4, 440) };

    void run(const NoModel&, ConfigurationSimulation& simulation) const override
    {
        std::size_t index = static_cast<std::size_t>(mask);
        bool tableBit = ((mask >> submitter) & 1) != 0;
        simulation.clearFaults();
        simulation.advance(milliseconds(1500));
        if (kind <= 1)
            simulation.partition(static_cast<unsigned>(mask), tableBit);
        if (kind == 2)
            simulation.pause(index);
        if (kind == 3)
            simulation.kill(index);
        simulation.advance(milliseconds(2500));
        simulation.submit(static_cast<std::size_t>(submitter), changedSections[0]);
        simulation.advance(ticks * milliseconds(25));
    }
    void show(std::ostream& out) const override { out << "change during fault: mask " << mask << ", kind " << kind << ", submit at " << submitter << ", advance " << ticks * 25 << " ms"; }
};

// Restarts some entries, which lose their state, while the table is unavailable.
struct RestartDuringTableOutage : Command {
    int mask { randomInt(1, 31) };
    int partitionMask { randomInt(0, 32) };

    void run(const NoModel&, ConfigurationSimulation& simulation) const override
    {
        simulation.setTable(TableMode::Down);
        for (std::size_t index = 0; index < 5; ++index) {
            if (((mask >> index) & 1) == 0)
                continue;
            simulation.kill(index);
            simulation.start(index);
        }
        simulation.partition(static_cast<unsigned>(partitionMask), false);
        simulation.advance(milliseconds(8000));
    }
    void show(std::ostream& out) const override { out << "restart mask " << mask << " in a table outage, then partition by mask " << partitionMask; }
};

struct ClearFaults : Command {
    void run(const NoModel&, ConfigurationSimulation& simulation) const override { simulation.clearFaults(); }
    void show(std::ostream& out) const override { out << "clear faults"; }
};

struct Totals {
    std::size_t cases { 0 };
    ConfigurationSimulationCounters counters;

    void add(const ConfigurationSimulationCounters& other)
    {
        ++cases;
        counters.admissions += other.admissions;
        counters.admissionsUnderFaults += other.admissionsUnderFaults;
        counters.accepted += other.accepted;
        counters.refused += other.refused;
        counters.undecided += other.undecided;
        counters.versions += other.versions;
    }
};

}

// Requirement R15. Under any combination of faults, a change must not be in force on some entries
// only, be reverted, or be in force after it was reported as refused.
TEST_CASE("a change takes effect on all entries or on none under any faults")
{
    Totals totals;
    bool holds = rc::check("configuration", [&totals](std::uint64_t seed) {
        std::size_t slotCount = static_cast<std::size_t>(*rc::gen::inRange(3, 6));
        ConfigurationSimulation simulation(slotCount, seed);
        simulation.advance(milliseconds(1000));
        // Advance and Submit are listed several times, so that changes complete and faults last for some time.
        rc::state::check(NoModel(), simulation,
            rc::state::gen::execOneOfWithArgs<Advance, Advance, Advance, Submit, Submit, ConcurrentSubmits, FaultProcess, FaultProcess, Partition, FaultTable, FaultNetwork, ClearFaults, ChangeDuringFault, ChangeDuringFault, RestartDuringTableOutage>());
        simulation.checkConvergence();
        totals.add(simulation.counters());
    });
    std::cout << totals.cases << " cases, " << totals.counters.admissions << " admissions (" << totals.counters.admissionsUnderFaults
              << " under faults), " << totals.counters.versions - totals.cases << " commits, changes reported accepted " << totals.counters.accepted << ", refused "
              << totals.counters.refused << ", undecided for a time " << totals.counters.undecided << "\n";
    CHECK(holds);
    CHECK(totals.counters.accepted > totals.cases / 2);
    CHECK(totals.counters.refused > 0);
    CHECK(totals.counters.undecided > 0);
    CHECK(totals.counters.admissionsUnderFaults > totals.counters.admissions / 10);
}

}

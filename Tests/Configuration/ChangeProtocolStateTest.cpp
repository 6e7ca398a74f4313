#include "Configuration/Deployment.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <iostream>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;

// The faults need no model: every command is valid at any time, and the oracle judges.
struct NoModel {
};

using Command = rc::state::Command<NoModel, Deployment>;

const char* const changedSections[] = { "models", "customers" };

int pick(int least, int beyond)
{
    return *rc::gen::inRange(least, beyond);
}

struct Advance : Command {
    int amount { *rc::gen::weightedOneOf<int>({ { 4, rc::gen::inRange(1, 40) }, { 3, rc::gen::inRange(40, 160) }, { 1, rc::gen::inRange(280, 480) } }) };

    void run(const NoModel&, Deployment& deployment) const override { deployment.advance(amount * milliseconds(25)); }
    void show(std::ostream& out) const override { out << "advance " << amount * 25 << " ms"; }
};

struct Submit : Command {
    int entry { pick(0, 5) };
    int section { pick(0, 2) };
    int behind { *rc::gen::weightedElement<int>({ { 5, 0 }, { 1, 1 }, { 1, 2 } }) };

    void run(const NoModel&, Deployment& deployment) const override
    {
        deployment.submit(static_cast<std::size_t>(entry), changedSections[section], static_cast<ConfigurationVersion>(behind));
        deployment.advance(milliseconds(25));
    }
    void show(std::ostream& out) const override { out << "submit at " << entry << ", section " << changedSections[section] << ", " << behind << " versions behind"; }
};

// Two operators at different entries in the same step.
struct Race : Command {
    int first { pick(0, 5) };
    int second { pick(0, 5) };
    bool isSameSection { *rc::gen::arbitrary<bool>() };

    void run(const NoModel&, Deployment& deployment) const override
    {
        deployment.submit(static_cast<std::size_t>(first), changedSections[0]);
        deployment.submit(static_cast<std::size_t>(second), changedSections[isSameSection ? 0 : 1]);
        deployment.advance(milliseconds(25));
    }
    void show(std::ostream& out) const override { out << "race at " << first << " and " << second << (isSameSection ? ", same section" : ", other section"); }
};

enum class ProcessFault {
    Kill,
    Start,
    Pause,
    Resume,
};

struct FaultProcess : Command {
    int entry { pick(0, 5) };
    int kind { pick(0, 4) };

    void run(const NoModel&, Deployment& deployment) const override
    {
        std::size_t index = static_cast<std::size_t>(entry);
        switch (static_cast<ProcessFault>(kind)) {
        case ProcessFault::Kill:
            return deployment.kill(index);
        case ProcessFault::Start:
            return deployment.start(index);
        case ProcessFault::Pause:
            return deployment.pause(index);
        case ProcessFault::Resume:
            return deployment.resume(index);
        }
    }
    void show(std::ostream& out) const override
    {
        static const char* const names[] = { "kill ", "start ", "pause ", "resume " };
        out << names[kind] << entry;
    }
};

struct Partition : Command {
    int mask { pick(0, 32) };
    bool tableBit { *rc::gen::arbitrary<bool>() };

    void run(const NoModel&, Deployment& deployment) const override { deployment.partition(static_cast<unsigned>(mask), tableBit); }
    void show(std::ostream& out) const override { out << "partition by mask " << mask << ", table with bit " << tableBit; }
};

struct FaultTable : Command {
    int mode { pick(0, 5) };

    void run(const NoModel&, Deployment& deployment) const override { deployment.setTable(static_cast<TableMode>(mode)); }
    void show(std::ostream& out) const override
    {
        static const char* const names[] = { "up", "down", "loses answers", "slow", "writes late" };
        out << "table " << names[mode];
    }
};

struct FaultNetwork : Command {
    int maxDelay { *rc::gen::element(10, 10, 500, 6000) };
    int loss { *rc::gen::element(0, 0, 20, 60) };
    int duplicates { *rc::gen::element(0, 30) };

    void run(const NoModel&, Deployment& deployment) const override { deployment.setNetwork({ milliseconds(maxDelay), loss / 100.0, duplicates / 100.0 }); }
    void show(std::ostream& out) const override { out << "network with delays to " << maxDelay << " ms, " << loss << "% lost, " << duplicates << "% duplicated"; }
};

// Cuts some entries off or stops one, and makes a change meanwhile. Random single commands seldom do this in order.
struct ChangeMeanwhile : Command {
    int mask { pick(1, 31) };
    int kind { pick(0, 4) };
    int submitter { pick(0, 5) };
    int amount { pick(4, 440) };

    void run(const NoModel&, Deployment& deployment) const override
    {
        std::size_t index = static_cast<std::size_t>(mask);
        bool tableBit = ((mask >> submitter) & 1) != 0;
        deployment.heal();
        deployment.advance(milliseconds(1500));
        if (kind <= 1)
            deployment.partition(static_cast<unsigned>(mask), tableBit);
        if (kind == 2)
            deployment.pause(index);
        if (kind == 3)
            deployment.kill(index);
        deployment.advance(milliseconds(2500));
        deployment.submit(static_cast<std::size_t>(submitter), changedSections[0]);
        deployment.advance(amount * milliseconds(25));
    }
    void show(std::ostream& out) const override { out << "change meanwhile: mask " << mask << ", kind " << kind << ", submit at " << submitter << ", advance " << amount * 25 << " ms"; }
};

// Some entries lose their memory while the table is out of reach.
struct RestartInOutage : Command {
    int mask { pick(1, 31) };
    int sides { pick(0, 32) };

    void run(const NoModel&, Deployment& deployment) const override
    {
        deployment.setTable(TableMode::Down);
        for (std::size_t index = 0; index < 5; ++index) {
            if (((mask >> index) & 1) == 0)
                continue;
            deployment.kill(index);
            deployment.start(index);
        }
        deployment.partition(static_cast<unsigned>(sides), false);
        deployment.advance(milliseconds(8000));
    }
    void show(std::ostream& out) const override { out << "restart mask " << mask << " in a table outage, then partition by mask " << sides; }
};

struct Heal : Command {
    void run(const NoModel&, Deployment& deployment) const override { deployment.heal(); }
    void show(std::ostream& out) const override { out << "heal"; }
};

struct Totals {
    std::size_t cases { 0 };
    DeploymentCounters counters;

    void add(const DeploymentCounters& other)
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

// Guards R15: a change that is in force in one place and not in another, reverts, or is in
// force although it was reported refused, under any mix of faults.
TEST_CASE("a change takes effect everywhere or nowhere under any faults")
{
    Totals totals;
    bool holds = rc::check("configuration", [&totals](std::uint64_t seed) {
        std::size_t slotCount = static_cast<std::size_t>(*rc::gen::inRange(3, 6));
        Deployment deployment(slotCount, seed);
        deployment.advance(milliseconds(1000));
        // Advance and Submit are listed twice, so that changes finish and faults last.
        rc::state::check(NoModel(), deployment,
            rc::state::gen::execOneOfWithArgs<Advance, Advance, Advance, Submit, Submit, Race, FaultProcess, FaultProcess, Partition, FaultTable, FaultNetwork, Heal, ChangeMeanwhile, ChangeMeanwhile, RestartInOutage>());
        deployment.checkConvergence();
        totals.add(deployment.counters());
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

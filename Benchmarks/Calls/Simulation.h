#pragma once

#include "Core/ManualClock.h"
#include "Platform/MemoryTable.h"

#include <functional>
#include <map>

namespace Damaskgrade {

// Runs steps at their times on a manual clock.
class Simulation {
public:
    void schedule(Duration delay, std::function<void()> task);
    // Runs all steps up to this time from now.
    void run(Duration length);
    const ManualClock& clock() const { return clock_; }

private:
    ManualClock clock_;
    std::multimap<TimePoint, std::function<void()>> scheduledTasks_;
};

// A table in memory that answers after a fixed delay.
class DelayedTable : public Table {
public:
    DelayedTable(Simulation& simulation, Duration delay);

    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override;
    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override;
    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override;

private:
    Simulation& simulation_;
    Duration delay_;
    MemoryTable table_;
};

}

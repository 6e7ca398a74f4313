#pragma once

#include "Core/ManualClock.h"
#include "Platform/MemoryTable.h"

#include <functional>
#include <map>

namespace Damaskgrade {

// Runs scheduled tasks in time order on a manual clock.
class Simulation {
public:
    // Schedules a task to run after this delay from now.
    void schedule(Duration delay, std::function<void()> task);
    // Runs all tasks that are due within this duration from now, and advances the clock to its end.
    void run(Duration length);
    const ManualClock& clock() const { return clock_; }

private:
    ManualClock clock_;
    std::multimap<TimePoint, std::function<void()>> scheduledTasks_;
};

// An in-memory table that responds after a fixed delay.
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

#include "Simulation.h"

#include <utility>

namespace Damaskgrade {

void Simulation::schedule(Duration delay, std::function<void()> task)
{
    scheduledTasks_.emplace(clock_.now() + delay, std::move(task));
}

void Simulation::run(Duration length)
{
    TimePoint end = clock_.now() + length;
    while (!scheduledTasks_.empty() && scheduledTasks_.begin()->first <= end) {
        auto first = scheduledTasks_.begin();
        std::function<void()> task = std::move(first->second);
        clock_.advance(first->first - clock_.now());
        scheduledTasks_.erase(first);
        task();
    }
    clock_.advance(end - clock_.now());
}

DelayedTable::DelayedTable(Simulation& simulation, Duration delay)
    : simulation_(simulation)
    , delay_(delay)
{
}

void DelayedTable::read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done)
{
    simulation_.schedule(delay_, [this, keys, done] { done(table_.read(keys)); });
}

void DelayedTable::scan(const std::string& prefix, std::function<void(const TableReadResult&)> done)
{
    simulation_.schedule(delay_, [this, prefix, done] { done(table_.scan(prefix)); });
}

void DelayedTable::write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done)
{
    simulation_.schedule(delay_, [this, writes, done] { done(table_.write(writes)); });
}

}

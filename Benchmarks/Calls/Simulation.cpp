#include "Simulation.h"

#include <utility>

namespace Damaskgrade {

void Simulation::at(Duration delay, std::function<void()> step)
{
    steps_.emplace(clock_.now() + delay, std::move(step));
}

void Simulation::run(Duration length)
{
    TimePoint end = clock_.now() + length;
    while (!steps_.empty() && steps_.begin()->first <= end) {
        auto first = steps_.begin();
        std::function<void()> step = std::move(first->second);
        clock_.advance(first->first - clock_.now());
        steps_.erase(first);
        step();
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
    simulation_.at(delay_, [this, keys, done] { done(table_.read(keys)); });
}

void DelayedTable::scan(const std::string& prefix, std::function<void(const TableReadResult&)> done)
{
    simulation_.at(delay_, [this, prefix, done] { done(table_.scan(prefix)); });
}

void DelayedTable::write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done)
{
    simulation_.at(delay_, [this, writes, done] { done(table_.write(writes)); });
}

}

#include "StandIns/LaggedInstances.h"

namespace Damaskgrade {

LaggedInstances::LaggedInstances(Duration lag)
    : lag_(lag)
{
}

void LaggedInstances::change(TimePoint now, const std::string& name, const std::optional<InstanceRecord>& record)
{
    pending_.push_back({ now + lag_, name, record });
}

std::vector<InstanceRecord> LaggedInstances::visible(TimePoint now)
{
    while (!pending_.empty() && pending_.front().visibleFrom <= now) {
        const Change& change = pending_.front();
        if (change.record)
            visible_[change.name] = *change.record;
        else
            visible_.erase(change.name);
        pending_.pop_front();
    }
    std::vector<InstanceRecord> instances;
    for (const auto& [name, record] : visible_)
        instances.push_back(record);
    return instances;
}

}

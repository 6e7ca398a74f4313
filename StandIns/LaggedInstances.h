#pragma once

#include "Core/Clock.h"
#include "Platform/InstanceList.h"

#include <deque>
#include <map>
#include <optional>

namespace Damaskgrade {

// An instance list in which each change becomes visible after a delay.
class LaggedInstances {
public:
    explicit LaggedInstances(Duration lag);

    // Adds or replaces an instance, or removes it if there is no record. Takes effect after the lag.
    void change(TimePoint now, const std::string& name, const std::optional<InstanceRecord>& record);

    // Returns the instances that are visible at this time.
    std::vector<InstanceRecord> visible(TimePoint now);

private:
    struct Change {
        TimePoint visibleFrom;
        std::string name;
        std::optional<InstanceRecord> record;
    };

    Duration lag_;
    std::deque<Change> pending_;
    std::map<std::string, InstanceRecord> visible_;
};

}

#pragma once

#include "Core/Clock.h"
#include "Platform/InstanceList.h"

#include <deque>
#include <map>
#include <optional>

namespace Damaskgrade {

// The instance list, in which a change becomes visible after a lag.
class LaggedInstances {
public:
    explicit LaggedInstances(Duration lag);

    // No record removes the instance.
    void change(TimePoint now, const std::string& name, const std::optional<InstanceRecord>& record);

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

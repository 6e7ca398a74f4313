#include "Forwarding/ServiceRetryBudget.h"

#include "Core/ManualClock.h"

#include <doctest/doctest.h>

#include <deque>
#include <vector>

namespace Damaskgrade {

// Guards against retries that exceed the budget of all entries together in any window.
TEST_CASE("entries that share the retry budget together stay below it in each window")
{
    ManualClock clock;
    ServiceRetryBudgetSettings settings;
    constexpr std::size_t entryCount = 4;
    std::vector<ServiceRetryBudget> entries(entryCount, ServiceRetryBudget(clock, settings));
    std::deque<TimePoint> spent;
    std::deque<TimePoint> requests;
    for (ServiceRetryBudget& entry : entries)
        entry.setEntryCount(entryCount);
    for (int tick = 0; tick < 4000; ++tick) {
        clock.advance(std::chrono::milliseconds(10));
        ServiceRetryBudget& entry = entries[static_cast<std::size_t>(tick) % entryCount];
        entry.addRequest("s");
        requests.push_back(clock.now());
        for (int i = 0; i < 3; ++i) {
            if (entry.trySpend("s"))
                spent.push_back(clock.now());
        }
        while (spent.front() < clock.now() - settings.window)
            spent.pop_front();
        while (requests.front() < clock.now() - settings.window)
            requests.pop_front();
        CHECK(static_cast<double>(spent.size()) <= settings.share * static_cast<double>(requests.size()) + settings.extra);
    }
    CHECK(spent.size() > 100);
}

}

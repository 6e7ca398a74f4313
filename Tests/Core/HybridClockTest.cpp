#include "Core/HybridClock.h"
#include "Core/ManualClock.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

// Guards against a timeline that shows an effect before its cause when wall clocks differ.
TEST_CASE("the receipt of a message is ordered after its sending")
{
    ManualClock ahead;
    ManualClock behind;
    ahead.advance(std::chrono::seconds(5));
    HybridClock sender(ahead);
    HybridClock receiver(behind);
    HybridTime sent = sender.tick();
    receiver.observe(sent);
    CHECK(receiver.tick() > sent);
}

// Guards against one process with a wrong clock that advances the clocks of all others.
TEST_CASE("a received time far ahead is ignored")
{
    ManualClock farAhead;
    ManualClock behind;
    farAhead.advance(std::chrono::hours(2));
    HybridClock sender(farAhead);
    HybridClock receiver(behind);
    HybridTime sent = sender.tick();
    receiver.observe(sent);
    CHECK(receiver.tick() < sent);
}

}

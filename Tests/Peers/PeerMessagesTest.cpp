#include "Peers/PeerMessages.h"

#include <doctest/doctest.h>

#include <vector>

namespace Damaskgrade {

// Guards against suspected prompt parts that are lost or altered on their way to another entry.
TEST_CASE("the state of an entry carries its suspected prompt parts")
{
    EntryStateMessage sent;
    sent.link = { "127.0.0.1", 1 };
    sent.callers = { "127.0.0.1", 2 };
    SuspectReport suspected;
    suspected.part = 0xfedcba9876543210;
    suspected.crashes = 2;
    suspected.lastCrashAge = std::chrono::milliseconds(1500);
    suspected.probeEntry = "entry";
    suspected.claimAge = std::chrono::milliseconds(20);
    SuspectReport cleared;
    cleared.part = 7;
    cleared.wasSound = true;
    cleared.clearedAge = std::chrono::milliseconds(0);
    sent.suspects = { suspected, cleared };
    Frame frame = encodeMessage(sent, {});
    EntryStateMessage received = decodeEntryState(frame.body);
    REQUIRE(received.suspects.size() == 2);
    CHECK(received.suspects[0].part == suspected.part);
    CHECK(received.suspects[0].crashes == 2);
    CHECK(!received.suspects[0].wasSound);
    CHECK(received.suspects[0].lastCrashAge == std::chrono::milliseconds(1500));
    CHECK(!received.suspects[0].clearedAge);
    CHECK(received.suspects[0].probeEntry == "entry");
    CHECK(received.suspects[0].claimAge == std::chrono::milliseconds(20));
    CHECK(received.suspects[1].wasSound);
    CHECK(received.suspects[1].clearedAge == std::chrono::milliseconds(0));
}

}

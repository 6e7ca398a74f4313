#include "Peers/PeerMessages.h"

#include <doctest/doctest.h>

#include <vector>

namespace Damaskgrade {

// Guards against what an entry has learned that is lost or altered on its way to another entry.
TEST_CASE("the state of an entry carries its suspected prompt parts and the rate limits of servers")
{
    EntryStateMessage sent;
    sent.evacuations = { true, { 3, 70 }, { "a", "b" } };
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
    sent.rateLimits = { { "server", 3, 2.25, std::chrono::milliseconds(40) } };
    Frame frame = encodeMessage(sent, {});
    EntryStateMessage received = decodeEntryState(frame.body);
    CHECK(received.evacuations.isKnown);
    CHECK(received.evacuations.position.generation == 3);
    CHECK(received.evacuations.position.revision == 70);
    CHECK(received.evacuations.zones == std::vector<std::string> { "a", "b" });
    sent.evacuations = {};
    CHECK(!decodeEntryState(encodeMessage(sent, 0).body).evacuations.isKnown);
    REQUIRE(received.suspects.size() == 2);
    CHECK(received.suspects[0].part == suspected.part);
    CHECK(received.suspects[0].crashes == 2);
    CHECK(!received.suspects[0].wasSound);
    CHECK(received.suspects[0].lastCrashAge == std::chrono::milliseconds(1500));
    CHECK(!received.suspects[0].clearedAge);
    CHECK(received.suspects[0].probeEntry == "entry");
    CHECK(received.suspects[0].claimAge == std::chrono::milliseconds(20));
    REQUIRE(received.rateLimits.size() == 1);
    CHECK(received.rateLimits[0].serverId == "server");
    CHECK(received.rateLimits[0].version == 3);
    CHECK(received.rateLimits[0].perSecond == 2.25);
    CHECK(received.rateLimits[0].age == std::chrono::milliseconds(40));
    CHECK(received.suspects[1].wasSound);
    CHECK(received.suspects[1].clearedAge == std::chrono::milliseconds(0));
}

}

#include "Routing/AddressSelector.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

namespace Damaskgrade {

namespace {

EntryAddress makeEntry(int number, const std::string& zone, double load = 0.5)
{
    EntryAddress entry;
    entry.name = "entry-" + std::to_string(number);
    entry.availabilityZone = zone;
    entry.callers = { "127.0.0.1", static_cast<std::uint16_t>(8000 + number) };
    entry.load = load;
    return entry;
}

struct AddressFixture {
    int firstPort(const std::string& zone) { return selector.select(zone, entries).front().port; }

    ZoneLatencies latencies { std::chrono::microseconds(500) };
    Random random { 7 };
    AddressSelector selector { latencies, random, AddressSettings() };
    std::vector<EntryAddress> entries { makeEntry(0, "a"), makeEntry(1, "b"), makeEntry(2, "c"), makeEntry(3, "a") };
};

}

// Guards against directing callers to a distant zone, or all callers of a zone to the same entry.
TEST_CASE("entries of the nearest zone are listed first and share the callers")
{
    AddressFixture fixture;
    std::map<int, int> first;
    for (int i = 0; i < 200; ++i)
        ++first[fixture.firstPort("a")];
    CHECK(first.size() == 2);
    CHECK(first[8000] > 60);
    CHECK(first[8003] > 60);
}

// Guards against overload of a zone that is nearest to most callers, and against uneven load within a zone.
TEST_CASE("entries with lower load get more callers, and highly loaded entries are listed last")
{
    AddressFixture fixture;
    fixture.entries[0].load = 0.95;
    fixture.entries[3].load = 0.95;
    for (int i = 0; i < 50; ++i) {
        std::vector<Endpoint> addresses = fixture.selector.select("a", fixture.entries);
        CHECK(addresses[0].port % 3 != 8000 % 3);
        CHECK(addresses[1].port % 3 != 8000 % 3);
    }
    fixture.entries[0].load = 0.85;
    fixture.entries[3].load = 0.1;
    int loaded = 0;
    for (int i = 0; i < 400; ++i)
        loaded += fixture.firstPort("a") == 8000 ? 1 : 0;
    CHECK(loaded < 120);
    CHECK(loaded > 0);
}

// Guards against directing all callers without a zone to the same entry.
TEST_CASE("callers from an unknown zone are spread over all entries")
{
    AddressFixture fixture;
    std::map<int, int> first;
    for (int i = 0; i < 400; ++i)
        ++first[fixture.firstPort("")];
    CHECK(first.size() == 4);
    for (const auto& [port, count] : first)
        CHECK(count > 60);
}

// Guards against returning addresses of draining entries, and against an empty response if all entries are wrongly
// suspected.
TEST_CASE("addresses of draining entries are never returned, suspected ones only if there are no others")
{
    bool propertyHolds = rc::check([] {
        AddressFixture fixture;
        std::size_t healthy = 0;
        std::size_t notDraining = 0;
        std::map<int, EntryAddress> byPort;
        for (EntryAddress& entry : fixture.entries) {
            entry.isDraining = *rc::gen::arbitrary<bool>();
            entry.isSuspected = *rc::gen::arbitrary<bool>();
            notDraining += entry.isDraining ? 0 : 1;
            healthy += !entry.isDraining && !entry.isSuspected ? 1 : 0;
            byPort[entry.callers.port] = entry;
        }
        std::vector<Endpoint> addresses = fixture.selector.select("a", fixture.entries);
        RC_ASSERT(addresses.size() == (healthy > 0 ? healthy : notDraining));
        for (const Endpoint& address : addresses) {
            RC_ASSERT(!byPort[address.port].isDraining);
            RC_ASSERT(healthy == 0 || !byPort[address.port].isSuspected);
        }
    });
    CHECK(propertyHolds);
}

}

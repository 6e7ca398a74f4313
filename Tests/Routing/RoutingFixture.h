#pragma once

#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "Routing/BackendServerSelector.h"

#include <string>

namespace Damaskgrade {

// A selector and its dependencies with a manual clock and a fixed random seed.
struct RoutingFixture {
    explicit RoutingFixture(std::uint64_t seed = 1)
        : table(clock)
        , cache(1000)
        , outliers(clock, OutlierSettings())
        , latencies(std::chrono::microseconds(500))
        , random(seed)
        , selector(table, cache, outliers, latencies, random, settings(), [this](std::string_view) { return skew; })
    {
    }

    static SelectorSettings settings()
    {
        SelectorSettings result;
        result.localZone = "a";
        return result;
    }

    void connect(const std::string& name, const std::string& zone = "a", const std::string& incarnation = "1")
    {
        HelloMessage hello;
        hello.name = name;
        hello.incarnation = incarnation;
        hello.availabilityZone = zone;
        hello.engineKind = "model";
        hello.serves = "m";
        table.connected(hello);
        outliers.add(name, "m");
        table.setTicketsHeld(name, 100);
    }

    void report(const std::string& name, std::uint32_t running, std::uint32_t queued = 0, std::chrono::milliseconds age = std::chrono::milliseconds(0))
    {
        TicketsMessage message;
        message.load = { running, queued, 8, std::chrono::microseconds(20000), age };
        table.ticketsReceived(name, message);
    }

    Selection select(SelectionRequest request = {})
    {
        request.serves = "m";
        return selector.select(request);
    }

    // Returns how many of the given number of selections select the server.
    int countSelected(const std::string& name, int selections, const SelectionRequest& request = {})
    {
        int count = 0;
        for (int i = 0; i < selections; ++i)
            count += select(request).server == name ? 1 : 0;
        return count;
    }

    double skew { 1 };
    ManualClock clock;
    BackendServerTable table;
    PrefixCacheIndex cache;
    OutlierDetector outliers;
    ZoneLatencies latencies;
    Random random;
    BackendServerSelector selector;
};

}

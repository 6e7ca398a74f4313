#include "RankMaps/RelayTree.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace Damaskgrade {

namespace {

std::vector<Endpoint> receiversNumbered(std::uint16_t count)
{
    std::vector<Endpoint> receivers;
    for (std::uint16_t i = 1; i <= count; ++i)
        receivers.push_back({ "10.0.0.1", i });
    return receivers;
}

// Passes a message on as the agents do. Returns the number of hops to the last receiver.
std::size_t passOn(const std::vector<Endpoint>& receivers, std::vector<Endpoint>& reached)
{
    std::size_t hops = 0;
    for (const RelayBranch& branch : splitIntoBranches(receivers)) {
        reached.push_back(branch.head);
        hops = std::max(hops, 1 + passOn(branch.rest, reached));
    }
    return hops;
}

}

// Guards against agents that a map does not reach, or reaches twice, and against a tree as deep as the group is large.
TEST_CASE("each receiver is reached once, in a number of hops that grows with the logarithm of the group")
{
    for (std::uint16_t count = 0; count <= 600; ++count) {
        CAPTURE(count);
        std::vector<Endpoint> receivers = receiversNumbered(count);
        std::vector<Endpoint> reached;
        std::size_t hops = passOn(receivers, reached);
        std::sort(reached.begin(), reached.end());
        CHECK(reached == receivers);
        CHECK(hops <= relayLevels(count));
    }
    CHECK(relayLevels(600) <= 6);
}

}

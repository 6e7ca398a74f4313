#include "Catalog/CatalogHolder.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

Route route(const std::string& host, const std::string& prefix)
{
    Route result;
    result.name = host + prefix;
    result.host = host;
    result.prefix = prefix;
    return result;
}

CatalogVersion version(std::uint64_t number)
{
    return { std::make_shared<Catalog>(number, std::vector<Route> {}, std::vector<ServiceSpecification> {}, std::nullopt, CallerLimits()), "" };
}

}

// Guards against requests that get the route of another host or of a shorter prefix.
TEST_CASE("the route of the host with the longest matching prefix is found")
{
    Catalog catalog(1, { route("h", "/a/"), route("h", "/a/b/"), route("other", "/a/b/c/") }, {}, {}, {});
    CHECK(catalog.findRoute("h", "/a/b/c/d")->prefix == "/a/b/");
    CHECK(catalog.findRoute("h:80", "/a/x")->prefix == "/a/");
    CHECK(!catalog.findRoute("h", "/ab"));
    CHECK(!catalog.findRoute("unknown", "/a/"));
}

// Guards against switching to an older catalog.
TEST_CASE("a holder never switches to a lower version")
{
    int changes = 0;
    CatalogHolder holder([&changes](const Catalog&) { ++changes; });
    CHECK(holder.applyIfNewer(version(5)));
    CHECK(!holder.applyIfNewer(version(5)));
    CHECK(!holder.applyIfNewer(version(3)));
    CHECK(!holder.applyIfNewer({}));
    CHECK(holder.version() == 5);
    CHECK(holder.applyIfNewer(version(9)));
    CHECK(changes == 2);
}

}

#include "Catalog/CatalogFollower.h"

#include "LoopRunner.h"

#include <doctest/doctest.h>

#include <utility>
#include <vector>

namespace Damaskgrade {

namespace {

CatalogReadResult resultOf(CatalogReadStatus status, std::uint64_t version = 0, std::uint64_t revision = 0)
{
    CatalogReadResult result;
    result.status = status;
    result.revision = revision;
    if (version > 0)
        result.version = { std::make_shared<Catalog>(version, std::vector<Route> {}, std::vector<ServiceSpecification> {}, std::vector<CustomerKeys> {}, CallerLimits()), "" };
    return result;
}

// Answers with prepared results, and then keeps the last call waiting.
class ScriptedSource : public CatalogSource {
public:
    explicit ScriptedSource(EventLoop& loop)
        : loop_(loop)
    {
    }

    void read(Done done) override
    {
        ++reads;
        respond(std::move(done));
    }

    void awaitChange(std::uint64_t revision, std::chrono::milliseconds, Done done) override
    {
        awaitedRevisions.push_back(revision);
        respond(std::move(done));
    }

    CatalogVersion decode(const std::string&) const override { return {}; }

    std::vector<CatalogReadResult> results;
    std::vector<std::uint64_t> awaitedRevisions;
    int reads { 0 };

private:
    void respond(Done done)
    {
        if (next_ < results.size())
            loop_.post([done = std::move(done), result = results[next_++]] { done(result); });
    }

    EventLoop& loop_;
    std::size_t next_ { 0 };
};

struct CatalogFollowerFixture {
    explicit CatalogFollowerFixture(std::vector<CatalogReadResult> results)
    {
        source.results = std::move(results);
        follower.start();
    }

    EventLoop loop;
    Random random { 1 };
    ScriptedSource source { loop };
    CatalogHolder holder { [](const Catalog&) {} };
    std::vector<bool> reachable;
    CatalogFollower follower { loop, random, source, holder, CatalogFollowerSettings {}, [this](bool isReachable) { reachable.push_back(isReachable); } };
};

}

// Guards against a change that is never seen because the history since the last one is gone.
TEST_CASE("after a lost history the whole catalog is read")
{
    CatalogFollowerFixture fixture({ resultOf(CatalogReadStatus::Ok, 4, 40), resultOf(CatalogReadStatus::HistoryLost), resultOf(CatalogReadStatus::Ok, 6, 70) });
    REQUIRE(runLoopUntil(fixture.loop, [&] { return fixture.source.awaitedRevisions.size() == 2; }));
    CHECK(fixture.source.reads == 2);
    CHECK(fixture.holder.version() == 6);
    CHECK(fixture.source.awaitedRevisions == std::vector<std::uint64_t> { 40, 70 });
}

// Guards against an old snapshot that takes a gateway back, or makes it wait for changes that it has seen.
TEST_CASE("a snapshot that is older than what was seen changes nothing")
{
    CatalogFollowerFixture fixture({ resultOf(CatalogReadStatus::Ok, 4, 40), resultOf(CatalogReadStatus::Ok, 3, 30) });
    REQUIRE(runLoopUntil(fixture.loop, [&] { return fixture.source.awaitedRevisions.size() == 2; }));
    CHECK(fixture.holder.version() == 4);
    CHECK(fixture.source.awaitedRevisions.back() == 40);
}

// Guards against a source that is given up, or reported as lost again and again, while it is down.
TEST_CASE("a source that does not answer is asked again, and reported once")
{
    CatalogReadResult down = resultOf(CatalogReadStatus::Unavailable);
    CatalogFollowerFixture fixture({ resultOf(CatalogReadStatus::Ok, 4, 40), down, down, resultOf(CatalogReadStatus::Ok, 5, 50) });
    REQUIRE(runLoopUntil(fixture.loop, [&] { return fixture.source.awaitedRevisions.size() == 4; }));
    CHECK(fixture.holder.version() == 5);
    CHECK(fixture.reachable == std::vector<bool> { true, false, true });
}

}

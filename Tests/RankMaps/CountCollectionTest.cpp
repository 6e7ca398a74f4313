#include "RankMaps/CountCollection.h"

#include "Core/ManualClock.h"
#include "RankMaps/RankMessages.h"

#include <doctest/doctest.h>

#include <cmath>
#include <optional>

namespace Damaskgrade {

namespace {

struct CountCollectionFixture {
    ManualClock clock;
    std::optional<CountSum> reported;
    std::uint64_t reportedRound { 0 };
    int reports { 0 };
    CountCollection collection { clock, [this](std::uint64_t round, const CountSum& sum) {
                                    reported = sum;
                                    reportedRound = round;
                                    ++reports;
                                } };
};

}

// Guards against a sum that waits for an agent that is gone, and against parts that are added to another round.
TEST_CASE_FIXTURE(CountCollectionFixture, "the sum is reported once: when it is complete, or when its time is over")
{
    collection.begin(1, 2, std::chrono::milliseconds(100));
    collection.add(1, { 1, { 1, 2 } });
    CHECK(reports == 0);
    collection.add(1, { 3, { 10, 20 } });
    REQUIRE(reports == 1);
    CHECK(reported->ranks == 4);
    CHECK(reported->counts == std::vector<double> { 11, 22 });

    collection.begin(2, 3, std::chrono::milliseconds(100));
    collection.add(1, { 1, { 100, 100 } });
    collection.add(2, {});
    collection.add(2, { 1, { 5, 6 } });
    clock.advance(std::chrono::milliseconds(99));
    collection.tick();
    CHECK(reports == 1);
    clock.advance(std::chrono::milliseconds(1));
    collection.tick();
    REQUIRE(reports == 2);
    CHECK(reportedRound == 2);
    CHECK(reported->counts == std::vector<double> { 5, 6 });
    collection.add(2, { 1, { 5, 6 } });
    collection.tick();
    CHECK(reports == 2);
}

// Guards against counts that are lost when the next request arrives before the last part.
TEST_CASE_FIXTURE(CountCollectionFixture, "a new round reports what the one before has")
{
    collection.begin(1, 2, std::chrono::milliseconds(100));
    collection.add(1, { 1, { 1, 2 } });
    collection.begin(2, 1, std::chrono::milliseconds(100));
    CHECK(reportedRound == 1);
    CHECK(reported->ranks == 1);
}

// Guards against counts that are too inaccurate for a plan after they were packed for each hop.
TEST_CASE("packed counts differ from the original ones by a few percent of the mean")
{
    CountSum sum;
    sum.ranks = 7;
    for (int i = 0; i < 3840; ++i)
        sum.counts.push_back(i % 384 == 0 ? 40000 : 100 + 10 * (i % 50));
    RankCounts packed = decodeRankCounts(encodeMessage(packCounts(5, sum), HybridTime()).body);
    CHECK(packed.round == 5);
    CountSum unpacked = unpackCounts(packed);
    CHECK(unpacked.ranks == 7);
    REQUIRE(unpacked.counts.size() == sum.counts.size());
    double error = 0;
    double mean = 0;
    for (std::size_t i = 0; i < sum.counts.size(); ++i) {
        error += std::abs(unpacked.counts[i] - sum.counts[i]) / static_cast<double>(sum.counts.size());
        mean += sum.counts[i] / static_cast<double>(sum.counts.size());
    }
    CHECK(error < 0.05 * mean);
    CHECK(encodeMessage(packed, HybridTime()).body.size() < sum.counts.size() + 100);
}

}

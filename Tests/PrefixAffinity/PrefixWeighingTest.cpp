#include "PrefixAffinity/PrefixWeighing.h"

#include "AffinitySimulation.h"

#include <doctest/doctest.h>

#include <vector>

namespace Damaskgrade {

namespace {

// A long prefix, and figures with which one request in flight costs about 70 ms.
EngineModel engine()
{
    EngineModel model = simulatedEngine({});
    model.usualPromptTokens = 868;
    return model;
}

PrefixHolder holder(double inFlight)
{
    return { inFlight, inFlight, 10, true };
}

}

// Guards against a fixed ratio between a prefix and a wait: both follow from the published figures.
TEST_CASE("the saving is converted by the published figures")
{
    CHECK(readingMilliseconds(engine(), 40) == doctest::Approx(40 / 74.8).epsilon(0.01));
    CHECK(readingMilliseconds(engine(), 8000) == doctest::Approx(8000 / 74.8 + 32 * 0.232));
    CHECK(millisecondsPerRequest(engine()) == doctest::Approx(158 * (0.435 + 0.0132 * 0.868)));
    std::vector<HeldPart> parts { { 8000, 1, 1 } };
    double expected = -readingMilliseconds(engine(), 8000) / millisecondsPerRequest(engine());
    CHECK(prefixCost(engine(), parts, holder(1)) == doctest::Approx(expected));
    // Half as likely, half the saving. With three requests in flight, twice the time is saved at the server.
    CHECK(prefixCost(engine(), std::vector<HeldPart> { { 8000, 0.5, 1 } }, holder(1)) == doctest::Approx(expected / 2));
    CHECK(prefixCost(engine(), parts, holder(3)) == doctest::Approx(2 * expected));
    EngineModel faster = engine();
    faster.promptTokensPerSecond *= 10;
    CHECK(prefixCost(faster, parts, holder(1)) > expected / 2);
    // Where 40 tokens are shared, the saving is below a hundredth of a request.
    CHECK(prefixCost(engine(), std::vector<HeldPart> { { 40, 1, 1 } }, holder(1)) > -0.01);
}

// Guards against requests that are drawn to a holder that cannot take them.
TEST_CASE("a holder that is full or not sound does not attract requests")
{
    std::vector<HeldPart> parts { { 8000, 1, 1 } };
    CHECK(prefixCost(engine(), parts, holder(9)) < 0);
    CHECK(prefixCost(engine(), parts, holder(10)) == 0);
    PrefixHolder suspect = holder(1);
    suspect.isSound = false;
    CHECK(prefixCost(engine(), parts, suspect) == 0);
}

// Guards against a popular prefix that keeps all its requests at one server.
TEST_CASE("the more requests share a prefix at the holder, the less a second copy costs")
{
    std::vector<HeldPart> one { { 8000, 1, 1 } };
    std::vector<HeldPart> eight { { 8000, 1, 8 } };
    CHECK(prefixCost(engine(), eight, holder(8)) == doctest::Approx(prefixCost(engine(), one, holder(8)) / 8));
    // This entry has sent two of the eight requests, so the others are assumed to share the prefix as well.
    PrefixHolder shared { 8, 2, 10, true };
    CHECK(prefixCost(engine(), std::vector<HeldPart> { { 8000, 1, 2 } }, shared) == doctest::Approx(prefixCost(engine(), eight, holder(8))));
}

// Guards against callers that state huge numbers of tokens, and against services that state no figures.
TEST_CASE("the cost is bounded, and zero without published figures")
{
    std::vector<HeldPart> huge { { 4000000000U, 1, 1 }, { 4000000000U, 1, 1 } };
    CHECK(prefixCost(engine(), huge, holder(1)) == -10);
    CHECK(savedMilliseconds(engine(), huge, holder(1)) == doctest::Approx(readingMilliseconds(engine(), engine().tokenCapacity)));
    std::vector<HeldPart> parts { { 8000, 1, 1 } };
    CHECK(prefixCost(EngineModel {}, parts, holder(1)) == 0);
    EngineModel unknownReading = engine();
    unknownReading.promptTokensPerSecond = 0;
    CHECK(prefixCost(unknownReading, parts, holder(1)) == 0);
    CHECK(memoryPressure(EngineModel {}, 100) == 0);
    CHECK(memoryPressure(engine(), 401.2) == doctest::Approx(401.2 * (868 + 158) / 411666));
}

}

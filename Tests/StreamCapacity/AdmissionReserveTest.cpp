#include "StreamCapacity/AdmissionReserve.h"

#include "Core/ManualClock.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds pass { 100 };
const AdmissionReserveSettings settings { std::chrono::milliseconds(2000), std::chrono::milliseconds(60) };

}

// Guards against less urgent requests that take the room which more urgent ones need, and against room held for nobody.
TEST_CASE("room is left for more urgent requests that have come recently")
{
    ManualClock clock;
    AdmissionReserve reserve(clock, settings);
    CHECK(reserve.reservedFor({ 2, false }, pass) == 0);
    for (int i = 0; i < 1000; ++i) {
        clock.advance(std::chrono::milliseconds(25));
        reserve.recordSend({ 1, false });
    }
    // 40 in a second, so 4 in a pass, and a deviation of 2.
    CHECK(reserve.reservedFor({ 2, false }, pass) == doctest::Approx(6).epsilon(0.05));
    CHECK(reserve.reservedFor({ 1, true }, pass) == doctest::Approx(6).epsilon(0.05));
    CHECK(reserve.reservedFor({ 1, false }, pass) == 0);
    CHECK(reserve.reservedFor({ 0, false }, pass) == 0);
    // Late requests leave room also for less urgent routes.
    CHECK(reserve.reservedFor({ 0, true }, pass) == doctest::Approx(6).epsilon(0.05));
    clock.advance(std::chrono::seconds(30));
    CHECK(reserve.reservedFor({ 2, false }, pass) < 0.01);
}

// Guards against a new request that is sent before a more urgent one that waits.
TEST_CASE("room is left for more urgent requests that wait")
{
    ManualClock clock;
    AdmissionReserve reserve(clock, settings);
    reserve.recordWaiting({ 0, false });
    reserve.recordWaiting({ 0, true });
    CHECK(reserve.reservedFor({ 1, false }, pass) == 1);
    CHECK(reserve.reservedFor({ 0, true }, pass) == 1);
    CHECK(reserve.reservedFor({ 1, true }, pass) == 2);
    CHECK(reserve.reservedFor({ 0, false }, pass) == 0);
    reserve.recordSend({ 0, false });
    CHECK(reserve.reservedFor({ 1, false }, pass) < 0.4);
    CHECK(reserve.reservedFor({ 1, true }, pass) > 1);
    clock.advance(std::chrono::milliseconds(100));
    CHECK(reserve.reservedFor({ 1, true }, pass) < 0.4);
}

// Guards against a late stream that waits for room which goes to more urgent ones.
TEST_CASE("room is expected from the sends that were not more urgent")
{
    ManualClock clock;
    AdmissionReserve reserve(clock, settings);
    CHECK(!reserve.expectedRoom({ 0, false }));
    for (int i = 0; i < 1000; ++i) {
        clock.advance(std::chrono::milliseconds(25));
        reserve.recordSend({ 0, false });
        if (i % 20 == 0)
            reserve.recordSend({ 1, true });
    }
    CHECK(*reserve.expectedRoom({ 0, false }) < std::chrono::milliseconds(30));
    CHECK(*reserve.expectedRoom({ 1, true }) > std::chrono::milliseconds(350));
    CHECK(*reserve.expectedRoom({ 1, true }) < std::chrono::milliseconds(700));
    CHECK(!reserve.expectedRoom({ 2, true }));
}

}

#include "Forwarding/CrashDetector.h"

#include "Core/ManualClock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;

// A connection whose connect() ends when the test says so.
class PendingConnection : public UpstreamConnection {
public:
    void connect(const Endpoint&, milliseconds, std::function<void(bool)> done) override { onDone = std::move(done); }
    void exchange(UpstreamRequest, UpstreamHandlers) override { }
    void close() override { }
    void watchIdle(std::function<void()>) override { }
    bool isReusable() const override { return false; }
    bool canIdentify(const std::optional<std::string>&) const override { return false; }
    milliseconds keepAliveTime() const override { return milliseconds(0); }

    std::function<void(bool)> onDone;
};

class DetectorFixture {
public:
    explicit DetectorFixture(CrashDetector::SelectWitness selectWitness = nullptr)
        : quarantine(clock, "entry", {}, nullptr)
        , detector(
              clock, quarantine, [this] { return connections.emplace_back(std::make_shared<PendingConnection>()); }, {}, std::move(selectWitness))
    {
        server.id = "s";
        sentAt = clock.now();
        clock.advance(milliseconds(100));
    }

    bool isSuspect(PromptPart part) const { return quarantine.isSuspect(std::vector<PromptPart> { part }); }

    void breakConnection(PromptPart part)
    {
        detector.connectionBroke(server, { { part }, sentAt, false }, [this] { ++finished; });
    }

    ManualClock clock;
    PromptQuarantine quarantine;
    std::vector<std::shared_ptr<PendingConnection>> connections;
    CrashDetector detector;
    ServerRecord server;
    TimePoint sentAt;
    int finished { 0 };
};

}

// Guards against prompts that are suspected because a server dropped a connection.
TEST_CASE("a prompt is suspect only if its server accepts no connection after the connection broke")
{
    for (bool isAccepting : { true, false }) {
        DetectorFixture fixture;
        fixture.breakConnection(1);
        fixture.breakConnection(2);
        CHECK(fixture.connections.size() == 1);
        CHECK(fixture.finished == 0);
        fixture.connections[0]->onDone(isAccepting);
        CHECK(fixture.finished == 2);
        CHECK(fixture.isSuspect(1) != isAccepting);
        CHECK(fixture.isSuspect(2) != isAccepting);
        fixture.breakConnection(3);
        CHECK(fixture.connections.size() == 2);
    }
}

// Guards against a crash that is not counted because its caller left just before it.
TEST_CASE("a prompt whose caller has just left is suspect when its server crashes")
{
    for (milliseconds sinceLeft : { milliseconds(500), milliseconds(2500) }) {
        for (bool isFoundByRequest : { true, false }) {
            DetectorFixture fixture;
            fixture.detector.requestAbandoned("s", { { 1 }, fixture.sentAt, false });
            fixture.detector.requestAbandoned("other", { { 2 }, fixture.sentAt, false });
            fixture.clock.advance(sinceLeft);
            if (isFoundByRequest) {
                fixture.breakConnection(3);
                fixture.connections[0]->onDone(false);
            } else {
                fixture.detector.connectionFailed("s");
            }
            CHECK(fixture.isSuspect(1) == (sinceLeft < milliseconds(2000)));
            CHECK(!fixture.isSuspect(2));
            fixture.detector.removeExpired();
            CHECK(fixture.detector.hasAbandoned("other") == (sinceLeft < milliseconds(2000)));
        }
    }
}

// Guards against memory that callers fill with requests of many parts which they leave at once.
TEST_CASE("of the requests that were left the latest are kept, up to a number of requests and of prompt parts")
{
    CrashDetectorSettings settings;
    for (std::size_t partCount : { std::size_t { 1 }, std::size_t { 1400 }, 2 * settings.maxAbandonedParts }) {
        CAPTURE(partCount);
        DetectorFixture fixture;
        constexpr PromptPart requests = 100;
        for (PromptPart request = 1; request <= requests; ++request) {
            CrashCandidate candidate { {}, fixture.sentAt, false };
            for (std::size_t i = 0; i < partCount; ++i)
                candidate.parts.push_back(request * 100000 + i);
            fixture.detector.requestAbandoned("s", std::move(candidate));
        }
        fixture.detector.connectionFailed("s");
        std::size_t kept = 0;
        for (PromptPart request = 1; request <= requests; ++request)
            kept += fixture.isSuspect(request * 100000) ? 1 : 0;
        CHECK(fixture.isSuspect(requests * 100000));
        CHECK(kept == std::clamp<std::size_t>(settings.maxAbandonedParts / partCount, 1, settings.maxAbandonedPerServer));
    }
}

// Guards against sound prompts that are suspected because their entry was cut off from all servers.
TEST_CASE("a loss of the connections to all servers at once makes no prompt suspect")
{
    DetectorFixture fixture;
    for (PromptPart part = 1; part <= 4; ++part) {
        fixture.server.id = "s" + std::to_string(part);
        fixture.breakConnection(part);
    }
    for (const std::shared_ptr<PendingConnection>& connection : fixture.connections)
        connection->onDone(false);
    for (PromptPart part = 1; part <= 4; ++part)
        CHECK(!fixture.isSuspect(part));
}

// Guards against crashes that are not counted because two servers crashed at the same time, and against sound prompts that
// are suspected because the only server of an entry that was cut off had them.
TEST_CASE("servers that accept no connection have crashed if another server accepts one")
{
    for (bool isCutOff : { false, true }) {
        for (PromptPart servers = 1; servers <= 2; ++servers) {
            DetectorFixture fixture([servers](const std::set<std::string>& excludedIds) {
                CHECK(excludedIds.size() == servers);
                return ServerRecord();
            });
            for (PromptPart part = 1; part <= servers; ++part) {
                fixture.server.id = "s" + std::to_string(part);
                fixture.breakConnection(part);
            }
            for (PromptPart part = 1; part <= servers; ++part)
                fixture.connections[part - 1]->onDone(false);
            CHECK(fixture.finished == 0);
            REQUIRE(fixture.connections.size() == servers + 1);
            fixture.connections.back()->onDone(!isCutOff);
            CHECK(fixture.finished == static_cast<int>(servers));
            for (PromptPart part = 1; part <= servers; ++part)
                CHECK(fixture.isSuspect(part) != isCutOff);
        }
    }
}

// Guards against a crash that is not counted although another server has shown at the same time that the entry is not cut off.
TEST_CASE("a server that accepts a connection again shows that the others have crashed")
{
    DetectorFixture fixture;
    for (PromptPart part = 1; part <= 3; ++part) {
        fixture.server.id = "s" + std::to_string(part);
        fixture.breakConnection(part);
    }
    fixture.connections[0]->onDone(false);
    fixture.connections[1]->onDone(true);
    fixture.connections[2]->onDone(false);
    CHECK(fixture.finished == 3);
    CHECK(fixture.isSuspect(1));
    CHECK(!fixture.isSuspect(2));
    CHECK(fixture.isSuspect(3));
}

}

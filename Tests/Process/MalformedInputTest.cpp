#include "Core/Random.h"
#include "Process/CallerRequests.h"
#include "Process/RawConnection.h"
#include "Process/SyncHttp.h"
#include "Process/TestDeployment.h"
#include "Transport/Frame.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

constexpr std::uint64_t randomSeed = 20261204;
constexpr std::size_t randomBytes = 3000;
constexpr int randomConnections = 20;

std::string randomText(Random& random)
{
    std::string text;
    for (std::size_t index = 0; index < randomBytes; ++index)
        text.push_back(static_cast<char>(random.index(256)));
    return text;
}

std::string frameText(const std::string& type, const Bytes& body)
{
    Bytes bytes = encodeFrame({ type, 1, body });
    return { bytes.begin(), bytes.end() };
}

// A process, and its metric that counts bad frames on its link port.
struct MalformedInputTarget {
    std::string process;
    std::string badFramesMetric;
};

const MalformedInputTarget malformedInputTargets[] = {
    { "agent-application-1", "damaskgrade_link_bad_frames_total{side=\"server\"}" },
    { "entry-1", "damaskgrade_link_bad_frames_total{side=\"peer server\"}" },
};

void checkServing(const TestDeployment& deployment)
{
    CallerResult result = callEntry(deployment.entry(1), lookupRequest());
    CHECK_MESSAGE(result.status == 200, result.body);
}

}

// Guards against a frame that makes the process exit or closes the links of other instances.
TEST_CASE("bad and oversized frames on a link port are counted and refused")
{
    DeploymentOptions options;
    options.entries = 2;
    TestDeployment deployment(options);
    Random random(randomSeed);
    for (const MalformedInputTarget& target : malformedInputTargets) {
        CAPTURE(target.process);
        Endpoint link = deployment.link(target.process);
        double refused = deployment.metric(target.process, target.badFramesMetric);
        for (const std::string& payload : { std::string(), randomText(random), frameText("hello", { 0xff, 0x00 }), frameText("hello", {}) }) {
            RawConnection connection(link);
            connection.send(websocketHandshake(link));
            CHECK(connection.waitFor("\r\n\r\n"));
            connection.send(websocketFrame(payload));
            ++refused;
            CHECK(waitUntil([&] { return deployment.metric(target.process, target.badFramesMetric) >= refused; }));
        }
        RawConnection oversized(link);
        oversized.send(websocketHandshake(link));
        CHECK(oversized.waitFor("\r\n\r\n"));
        oversized.send(websocketFrame(std::string(maxFrameBytes + 1, 'x')));
        CHECK(oversized.waitForEnd());
        ++refused;
        CHECK(waitUntil([&] { return deployment.metric(target.process, target.badFramesMetric) >= refused; }));
        for (int number = 0; number < randomConnections; ++number) {
            RawConnection connection(link);
            connection.send(randomText(random));
        }
        CHECK(deployment.process(target.process).isRunning());
        checkServing(deployment);
    }
}

// Guards against a caller whose input makes the process exit or blocks the requests of other callers.
TEST_CASE("malformed, slow and silent connections on the HTTP port don't affect other connections")
{
    DeploymentOptions options;
    options.entries = 1;
    TestDeployment deployment(options);
    Random random(randomSeed);
    for (const MalformedInputTarget& target : malformedInputTargets) {
        CAPTURE(target.process);
        Endpoint http = deployment.endpoint(target.process);
        RawConnection silent(http);
        RawConnection unfinished(http);
        unfinished.send("POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf");
        CHECK(waitUntil([&] { return deployment.metric(target.process, "damaskgrade_http_connections") >= 3; }));
        double malformed = deployment.metric(target.process, "damaskgrade_http_malformed_requests_total");
        for (int number = 0; number < randomConnections; ++number) {
            RawConnection connection(http);
            connection.send(randomText(random) + "\r\n\r\n");
            CHECK(connection.waitForEnd());
        }
        CHECK(waitUntil([&] { return deployment.metric(target.process, "damaskgrade_http_malformed_requests_total") >= malformed + randomConnections; }));
        RawConnection slow(http);
        for (char byte : std::string("GET /healthz HTTP/1.1\r\nHost: slow\r\n\r\n"))
            slow.send(std::string_view(&byte, 1));
        CHECK(slow.waitFor("200 OK"));
        CHECK(deployment.process(target.process).isRunning());
        checkServing(deployment);
    }
}

}

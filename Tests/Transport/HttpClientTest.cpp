#include "Transport/HttpClient.h"
#include "LoopRunner.h"
#include "Transport/MalformedHeads.h"
#include "Transport/ScriptedServer.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds testTimeout { 20000 };
constexpr std::size_t smallUpload = 1U << 20U;
constexpr std::size_t largeUpload = 6U << 20U;
// Lets the client fill the buffers of its connection, so that its write waits when the connection ends.
constexpr std::chrono::milliseconds bufferFillTime { 30 };

struct ClientResult {
    // 0 if no response was received.
    int status { 0 };
    std::string body;
    bool hasFailed { false };
    bool wasSent { false };
};

// Sends a request to a server that responds as scripted.
ClientResult send(ScriptedResponse response, std::size_t uploadBytes = 0, ReadBeforeResponse reading = ReadBeforeResponse::WholeRequest)
{
    EventLoop loop;
    ScriptedServer server(
        loop, [&response](const HttpRequest&) { return response; }, reading);
    HttpClient client(loop, testTimeout);
    ClientResult result;
    bool isDone = false;
    client.send(
        server.endpoint(), makeJsonPost("/x", std::string(uploadBytes, 'u')),
        [&](const HttpResponse& received) {
            result.status = received.status;
            result.body = received.body;
            isDone = true;
        },
        [&](const HttpFailure& failure) {
            result.hasFailed = true;
            result.wasSent = failure.wasSent;
            isDone = true;
        });
    REQUIRE(runLoopUntil(loop, [&] { return isDone; }));
    return result;
}

}

// Guards against stores, engines and other programs whose malformed answers count as refusals, so that what they may have done
// counts as not done.
TEST_CASE("a client reports a malformed response as a failure after which the request may have been executed")
{
    std::vector<std::string> responses = malformedHeads();
    responses.insert(responses.end(), { "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwrong", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "" });
    for (const std::string& line : malformedHeaderLines())
        responses.push_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n" + line + "\r\n");
    for (const std::string& response : responses) {
        CAPTURE(response);
        ClientResult result = send({ insertHeaderLines(response, ""), AfterResponse::Close });
        CHECK(result.hasFailed);
        CHECK(result.wasSent);
        CHECK(result.status == 0);
    }
}

// Guards against an informational response that counts as the response, and against legal heads that fail a request.
TEST_CASE("a client skips informational responses, and receives responses with odd but legal heads")
{
    std::vector<std::string> responses {
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: <x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright",
        "HTTP/1.0 200 \r\n\r\nright",
        "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING: Chunked\r\n\r\n5;a=b\r\nright\r\n0\r\nTrailer-Field: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: \xFF\r\nEmpty:\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nright",
    };
    for (const std::string& response : responses) {
        CAPTURE(response);
        ClientResult result = send({ response, AfterResponse::Close });
        CHECK(result.status == 200);
        CHECK(result.body == "right");
    }
}

// Guards against an upload whose early response looks complete after its connection was reset.
TEST_CASE("a client receives an early response without a length only if its server reads the whole request")
{
    for (std::size_t bytes : { smallUpload, largeUpload }) {
        for (std::chrono::milliseconds pause : { std::chrono::milliseconds(0), bufferFillTime }) {
            for (AfterResponse after : { AfterResponse::Reset, AfterResponse::ShutDownAndReset, AfterResponse::ReadAndClose, AfterResponse::ShutDownAndRead }) {
                CAPTURE(bytes);
                CAPTURE(pause.count());
                CAPTURE(static_cast<int>(after));
                ScriptedResponse response { "HTTP/1.1 200 OK\r\n\r\nbody", after };
                response.pause = pause;
                ClientResult result = send(response, bytes, ReadBeforeResponse::HeadOnly);
                bool isSound = after == AfterResponse::ReadAndClose || after == AfterResponse::ShutDownAndRead;
                CHECK(result.hasFailed == !isSound);
                CHECK(result.body == (isSound ? "body" : ""));
            }
        }
    }
}

}

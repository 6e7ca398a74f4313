#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds generousLimit { 20000 };

// Sends one request to a server with the handler and returns the response, or status 0 after a failure.
HttpResponse exchange(const HttpRequest& request, const HttpServer::Handler& handler, std::uint16_t port)
{
    EventLoop loop;
    Endpoint endpoint { "127.0.0.1", port };
    HttpServer server(loop, endpoint, HttpServerLimits(), handler);
    HttpClient client(loop, generousLimit);
    HttpResponse result;
    result.status = 0;
    client.send(
        endpoint, request,
        [&](const HttpResponse& response) {
            result = response;
            loop.stop();
        },
        [&](const HttpFailure&) { loop.stop(); });
    loop.run();
    return result;
}

}

TEST_CASE("a response arrives whole")
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/path?x=%41";
    request.body = "hello";
    HttpResponse response = exchange(
        request, [](const std::shared_ptr<HttpExchange>& served) { served->respond({ 201, { { "X-Answer", "1" } }, served->request().body + *queryParameter(served->request().target, "x") }); }, 18472);
    CHECK(response.status == 201);
    CHECK(response.body == "helloA");
    CHECK(findHeader(response.headers, "x-answer") == "1");
}

TEST_CASE("a stream arrives in order")
{
    HttpResponse response = exchange(
        HttpRequest(), [](const std::shared_ptr<HttpExchange>& served) {
            served->beginStream({ 200, {}, "" });
            served->write("one ");
            served->write("two");
            served->endStream();
        },
        18473);
    CHECK(response.status == 200);
    CHECK(response.body == "one two");
}

// Guards against a stream that is cut and looks complete.
TEST_CASE("an aborted stream is a failure")
{
    HttpResponse response = exchange(
        HttpRequest(), [](const std::shared_ptr<HttpExchange>& served) {
            served->beginStream({ 200, {}, "" });
            served->write("one ");
            served->abort();
        },
        18474);
    CHECK(response.status == 0);
}

// Guards against memory that a caller fills with an endless body.
TEST_CASE("an oversized request is refused with its number")
{
    HttpRequest request;
    request.method = "POST";
    request.body = std::string(2 * 1024 * 1024, 'x');
    HttpResponse response = exchange(
        request, [](const std::shared_ptr<HttpExchange>& served) { served->respond(HttpResponse()); }, 18475);
    CHECK((response.status == 413 || response.status == 0));
}

}

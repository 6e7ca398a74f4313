#include "LoopRunner.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds testTimeout { 20000 };

// Sends one request to a server with the handler. Returns the response, or a response with status 0 after a failure.
HttpResponse exchange(const HttpRequest& request, const HttpServer::Handler& handler, std::uint16_t port)
{
    EventLoop loop;
    Endpoint endpoint { "127.0.0.1", port };
    HttpServer server(loop, endpoint, HttpServerLimits(), handler);
    HttpClient client(loop, testTimeout);
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

// Guards against a status, header, body or query parameter that is lost or changed on the way.
TEST_CASE("a response is received completely")
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/path?x=%41";
    request.body = "hello";
    HttpResponse response = exchange(
        request, [](const std::shared_ptr<HttpExchange>& serverExchange) { serverExchange->respond({ 201, { { "X-Response", "1" } }, serverExchange->request().body + *queryParameter(serverExchange->request().target, "x") }); }, 18472);
    CHECK(response.status == 201);
    CHECK(response.body == "helloA");
    CHECK(findHeader(response.headers, "x-response") == "1");
}

// Guards against chunks that are lost or reordered.
TEST_CASE("the chunks of a stream are received in order")
{
    HttpResponse response = exchange(
        HttpRequest(), [](const std::shared_ptr<HttpExchange>& serverExchange) {
            serverExchange->beginStream({ 200, {}, "" });
            serverExchange->write("one ");
            serverExchange->write("two");
            serverExchange->endStream();
        },
        18473);
    CHECK(response.status == 200);
    CHECK(response.body == "one two");
}

// Guards against truncated streams that are reported as complete.
TEST_CASE("an aborted stream is reported as a failure")
{
    HttpResponse response = exchange(
        HttpRequest(), [](const std::shared_ptr<HttpExchange>& serverExchange) {
            serverExchange->beginStream({ 200, {}, "" });
            serverExchange->write("one ");
            serverExchange->abort();
        },
        18474);
    CHECK(response.status == 0);
}

// Guards against unbounded memory use for a request body.
TEST_CASE("an oversized request is rejected with status 413 or a closed connection")
{
    HttpRequest request;
    request.method = "POST";
    request.body = std::string(2 * 1024 * 1024, 'x');
    HttpResponse response = exchange(
        request, [](const std::shared_ptr<HttpExchange>& serverExchange) { serverExchange->respond(HttpResponse()); }, 18475);
    CHECK((response.status == 413 || response.status == 0));
}

// Guards against a shutdown that waits for idle connections until its grace period ends, or that aborts requests.
TEST_CASE("closeIdle closes idle connections, but not connections with a complete or partial request")
{
    namespace asio = boost::asio;
    EventLoop loop;
    Endpoint endpoint { "127.0.0.1", 18476 };
    std::vector<std::shared_ptr<HttpExchange>> waiting;
    HttpServer server(loop, endpoint, HttpServerLimits(), [&waiting](std::shared_ptr<HttpExchange> exchange) { waiting.push_back(std::move(exchange)); });
    auto connect = [&](const std::string& bytes) {
        asio::ip::tcp::socket socket(loop.context());
        socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
        asio::write(socket, asio::buffer(bytes));
        return socket;
    };
    asio::ip::tcp::socket idle = connect("");
    asio::ip::tcp::socket partial = connect("GET / HTTP/1.1\r\nHost:");
    asio::ip::tcp::socket busy = connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(runLoopUntil(loop, [&] { return waiting.size() == 1 && server.counters().openConnections == 3; }));
    server.closeIdle();
    REQUIRE(runLoopUntil(loop, [&] { return server.counters().openConnections == 2; }));
    std::array<char, 1> byte {};
    boost::system::error_code failure;
    idle.read_some(asio::buffer(byte), failure);
    CHECK(failure == asio::error::eof);
    asio::write(partial, asio::buffer(std::string(" h\r\n\r\n")));
    REQUIRE(runLoopUntil(loop, [&] { return waiting.size() == 2; }));
    for (const std::shared_ptr<HttpExchange>& exchange : waiting)
        exchange->respond({ 200, {}, "" });
    REQUIRE(runLoopUntil(loop, [&] { return partial.available() > 0 && busy.available() > 0; }));
}

// Guards against a request that is processed although its connection was closed before it was read.
TEST_CASE("a request on a connection that closeIdle has closed is not handled")
{
    EventLoop loop;
    Endpoint endpoint { "127.0.0.1", 18477 };
    int handled = 0;
    HttpServer server(loop, endpoint, HttpServerLimits(), [&handled](const std::shared_ptr<HttpExchange>& serverExchange) {
        ++handled;
        serverExchange->respond({ 200, {}, "" });
    });
    boost::asio::io_context clientContext;
    boost::asio::ip::tcp::socket client(clientContext);
    client.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
    boost::asio::write(client, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    while (server.counters().acceptedConnections == 0)
        loop.context().run_one();
    // The server has received the bytes of the request, but its handler for them has not run yet.
    server.closeIdle();
    loop.context().poll();
    std::array<char, 256> bytes {};
    boost::system::error_code failure;
    std::size_t count = client.read_some(boost::asio::buffer(bytes), failure);
    CHECK((handled == 1) == (count > 0));
}

// Guards against a server whose response fills the memory of the client.
TEST_CASE("a response above the size limit of the client is a failure")
{
    EventLoop loop;
    Endpoint endpoint { "127.0.0.1", 18478 };
    HttpServer server(loop, endpoint, HttpServerLimits(), [](const std::shared_ptr<HttpExchange>& serverExchange) { serverExchange->respond({ 200, {}, std::string(5000, 'x') }); });
    for (std::size_t limit : { 4999U, 5000U }) {
        HttpClient client(loop, testTimeout, limit);
        std::size_t received = 0;
        bool hasFailed = false;
        client.send(
            endpoint, HttpRequest(),
            [&](const HttpResponse& response) {
                received = response.body.size();
                loop.stop();
            },
            [&](const HttpFailure&) {
                hasFailed = true;
                loop.stop();
            });
        loop.restart();
        loop.run();
        CHECK(hasFailed == (limit < 5000));
        CHECK(received == (limit < 5000 ? 0 : 5000));
    }
}

}

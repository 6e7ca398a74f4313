#include "Forwarding/PooledClient.h"

#include "Core/ManualClock.h"
#include "Forwarding/SimulatedConnection.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Damaskgrade {

namespace {

// Runs its tasks when the test says so.
class ManualScheduler : public TaskScheduler {
public:
    void post(std::function<void()> task) override { task(); }

    std::unique_ptr<Timer> after(std::chrono::milliseconds, std::function<void()> task) override
    {
        tasks_[++last_] = std::move(task);
        return std::make_unique<Handle>(*this, last_);
    }

    std::unique_ptr<Timer> every(std::chrono::milliseconds period, std::function<void()> task) override { return after(period, std::move(task)); }

    std::size_t pendingTasks() const { return tasks_.size(); }

    void runNext()
    {
        std::function<void()> task = tasks_.begin()->second;
        task();
    }

private:
    class Handle : public Timer {
    public:
        Handle(ManualScheduler& scheduler, std::uint64_t number)
            : scheduler_(scheduler)
            , number_(number)
        {
        }
        ~Handle() override { scheduler_.tasks_.erase(number_); }
        Handle(const Handle&) = delete;
        Handle& operator=(const Handle&) = delete;

    private:
        ManualScheduler& scheduler_;
        std::uint64_t number_;
    };

    std::map<std::uint64_t, std::function<void()>> tasks_;
    std::uint64_t last_ { 0 };
};

std::string response(int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class ClientFixture {
public:
    ClientFixture()
        : client(scheduler, clock, [this] { return connections.emplace_back(std::make_shared<SimulatedConnection>("Request-Id", true)); })
    {
    }

    void get(const std::string& target)
    {
        HttpRequest request;
        request.target = target;
        send(request);
    }

    void post(const std::string& body) { send(makeJsonPost("/order", body)); }

    void send(const HttpRequest& request)
    {
        auto onResponse = [this](const HttpResponse& response) { results.push_back(std::to_string(response.status) + " " + response.body); };
        client.send({ "127.0.0.1", 1 }, request, std::chrono::milliseconds(200), onResponse, [this](const HttpFailure&) { results.emplace_back("failed"); });
    }

    ManualClock clock;
    ManualScheduler scheduler;
    std::vector<std::shared_ptr<SimulatedConnection>> connections;
    PooledClient client;
    // The results of the requests in the order in which they ended.
    std::vector<std::string> results;
};

}

// Guards against an order that counts as accepted although the engine refuses it.
TEST_CASE("a late second copy of the response to an order is not taken for the response to the next order")
{
    ClientFixture fixture;
    fixture.post("arm");
    fixture.connections[0]->receive(response(202, ""));
    fixture.post("disarm");
    fixture.connections[0]->receive(response(202, ""));
    CHECK(fixture.results == std::vector<std::string> { "202 " });
    fixture.connections.back()->receive(response(409, ""));
    CHECK(fixture.results == std::vector<std::string> { "202 ", "409 " });
}

// Guards against an outdated report that counts as the current one, and against a report that is taken for counts.
TEST_CASE("a late second copy of the response to a read is not taken for the response to a later read")
{
    for (const char* next : { "/report", "/counts" }) {
        ClientFixture fixture;
        fixture.get("/report");
        fixture.connections[0]->receive(response(200, "pass 1"));
        fixture.get("/report");
        fixture.connections[0]->receive(response(200, "pass 2"));
        REQUIRE(fixture.connections.size() == 1);
        fixture.get(next);
        fixture.connections[0]->receive(response(200, "pass 1"));
        CHECK(fixture.results.size() == 2);
        REQUIRE(fixture.connections.size() == 2);
        fixture.connections[1]->receive(response(200, "right"));
        CHECK(fixture.results.back() == "200 right");
        CHECK(fixture.scheduler.pendingTasks() == 0);
    }
}

// Guards against a read that is repeated without end, or after its timeout.
TEST_CASE("a read is repeated once on a new connection within its timeout")
{
    ClientFixture fixture;
    fixture.get("/report");
    fixture.connections[0]->receive(response(200, "same"));
    fixture.get("/report");
    fixture.connections[0]->receive(response(200, "same"));
    REQUIRE(fixture.connections.size() == 2);
    SUBCASE("the second response is accepted even if it is equal")
    {
        fixture.connections[1]->receive(response(200, "same"));
        CHECK(fixture.results == std::vector<std::string> { "200 same", "200 same" });
    }
    SUBCASE("the timeout counts from the first send")
    {
        fixture.scheduler.runNext();
        CHECK(fixture.results.back() == "failed");
        CHECK(fixture.connections.size() == 2);
    }
    SUBCASE("invalid bytes on the new connection end it")
    {
        fixture.connections[1]->receive("no response\r\n\r\n");
        CHECK(fixture.results.back() == "failed");
        CHECK(fixture.connections.size() == 2);
    }
}

// Guards against use of a destroyed call: the handler that gives up a response closes the connection, which owns the
// handlers. Guards also against a call that is not ended, or is ended twice, by bytes without end.
TEST_CASE("a call whose response has no end fails once, after a bounded number of bytes")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
    struct Endless {
        std::string name;
        std::string start;
        std::string repeated;
    };
    const std::vector<Endless> responses {
        { "line of a head", head + "X: ", "x" },
        { "lines of a head", head, "A: b\r\n" },
        { "body", head + "\r\n", "x" },
        { "chunks", chunkedHead, "3e8\r\n" + std::string(1000, 'x') + "\r\n" },
        { "chunk extension", chunkedHead + "1;", "x" },
        { "trailers", chunkedHead + "0\r\n", "A: b\r\n" },
        { "informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n" },
    };
    constexpr std::size_t maxBytes = 8U << 20U;
    for (const Endless& endless : responses) {
        for (bool isBytewise : { false, true }) {
            CAPTURE(endless.name);
            CAPTURE(isBytewise);
            ClientFixture fixture;
            fixture.get("/report");
            std::shared_ptr<SimulatedConnection> connection = fixture.connections[0];
            connection->receive(endless.start);
            std::string part = endless.repeated;
            while (!isBytewise && part.size() < (16U << 10U))
                part += endless.repeated;
            std::size_t received = 0;
            while (fixture.results.empty() && received < maxBytes) {
                for (std::size_t i = 0; i < part.size(); i += isBytewise ? 1 : part.size())
                    connection->receive(std::string_view(part).substr(i, isBytewise ? 1 : part.size()));
                received += part.size();
            }
            CHECK(fixture.results == std::vector<std::string> { "failed" });
            CHECK_FALSE(connection->isOpen());
            CHECK(fixture.scheduler.pendingTasks() == 0);
        }
    }
}

}

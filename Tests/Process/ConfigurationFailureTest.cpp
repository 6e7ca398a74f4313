#include "Calls/CallMessages.h"
#include "Core/SystemClock.h"
#include "Process/CallerRequests.h"
#include "Process/SyncHttp.h"
#include "Process/TestDeployment.h"
#include "Transport/LinkClient.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <deque>
#include <optional>
#include <thread>

namespace Damaskgrade {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds linkTimeout { 30 };
// Longer than the contact lease (see design.md, 4.1), so that it has expired.
constexpr std::chrono::milliseconds contactLeaseWait { 2500 };
constexpr std::size_t removedCustomerCalls = 4;

std::string sectionText(const TestDeployment& deployment, int entry, const std::string& section)
{
    return getHttp(deployment.entry(entry), "/v1/config/sections/" + section).body;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    std::size_t position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

HttpRequest withCustomer(HttpRequest request, const std::string& customer)
{
    for (HttpHeader& header : request.headers) {
        if (header.name == "X-Customer")
            header.value = customer;
    }
    return request;
}

// Returns whether the same document, with this version, is in force at all entries.
bool haveSameDocument(const TestDeployment& deployment, int entries, std::uint64_t version)
{
    HttpResponse first = deployment.document(1);
    for (int entry = 1; entry <= entries; ++entry) {
        if (deployment.version(entry) != version || deployment.document(entry).body != first.body)
            return false;
    }
    return true;
}

// Acts as an entry on a link to an agent, to send frames that a real entry never sends.
class LinkPeer {
public:
    explicit LinkPeer(const Endpoint& agent)
        : hybridClock_(clock_)
        , random_(1)
        , client_(loop_, random_, agent, LinkKeys(), handlers())
    {
    }

    template <typename Message>
    void send(const Message& message) { client_.session()->send(encodeMessage(message, hybridClock_.tick())); }

    // Waits for the next frame of one of the types and discards other frames. Returns nothing after linkTimeout.
    std::optional<Frame> waitFor(const std::vector<std::string>& types)
    {
        bool isTimedOut = false;
        std::unique_ptr<Timer> timeout = loop_.after(linkTimeout, [this, &isTimedOut] {
            isTimedOut = true;
            loop_.stop();
        });
        while (true) {
            while (!frames_.empty()) {
                Frame frame = frames_.front();
                frames_.pop_front();
                if (std::find(types.begin(), types.end(), frame.type) != types.end())
                    return frame;
            }
            if (isTimedOut)
                return std::nullopt;
            // The previous frame stopped the loop.
            loop_.context().restart();
            loop_.run();
        }
    }

private:
    LinkHandlers handlers()
    {
        LinkHandlers handlers;
        handlers.onOpen = [this](const std::shared_ptr<LinkSession>& session) {
            HelloMessage hello;
            hello.name = "test";
            hello.incarnation = "1";
            hello.role = "entry";
            session->send(encodeMessage(hello, hybridClock_.tick()));
        };
        handlers.onFrame = [this](const std::shared_ptr<LinkSession>&, const Frame& frame) {
            bool isReportOnly = frame.type == TicketsMessage::type && decodeTickets(frame.body).count == 0;
            if (!isReportOnly)
                frames_.push_back(frame);
            loop_.stop();
        };
        handlers.onClose = [](const std::shared_ptr<LinkSession>&) {};
        return handlers;
    }

    EventLoop loop_;
    SystemClock clock_;
    HybridClock hybridClock_;
    Random random_;
    std::deque<Frame> frames_;
    LinkClient client_;
};

}

// Guards against an entry that continues after a process pause and serves calls under a document that its peers have
// replaced meanwhile.
TEST_CASE("an entry that was stopped during a configuration change admits no call under the older version")
{
    TestDeployment deployment { DeploymentOptions() };
    std::uint64_t oldVersion = deployment.version(1);
    std::string customers = sectionText(deployment, 1, "customers");
    std::string withoutSecond = customers.substr(0, customers.find("[customers.second]"));
    CHECK(callEntry(deployment.entry(3), withCustomer(lookupRequest(), "second")).status == 200);
    deployment.process("entry-3").signal(SIGSTOP);
    // The other entries refuse the change until the contact lease of the stopped entry has expired.
    REQUIRE(waitUntil([&] { return deployment.isAccepted(1, deployment.changeSection(1, "customers", withoutSecond, oldVersion)); }));
    std::uint64_t newVersion = deployment.version(1);
    CHECK(newVersion > oldVersion);
    // These calls wait in the socket buffers of the stopped entry and are the first ones that it handles.
    std::vector<std::future<CallerResult>> removedCustomerResults(removedCustomerCalls);
    for (std::size_t number = 0; number < removedCustomerCalls; ++number)
        removedCustomerResults[number] = startCall(deployment.entry(3), withCustomer(bookingRequest("removed-" + std::to_string(number)), "second"));
    deployment.process("entry-3").signal(SIGCONT);
    bool wasEverOutdated = false;
    CHECK(waitUntil([&] {
        Json status = Json::parse(getHttp(deployment.entry(3), "/v1/status").body, nullptr, false);
        bool isAdmitting = status.is_object() && status.at("admitting").get<bool>();
        bool isOld = isAdmitting && status.at("configuration_version").get<std::uint64_t>() < newVersion;
        wasEverOutdated = wasEverOutdated || isOld;
        return isAdmitting && !isOld;
    }));
    CHECK(!wasEverOutdated);
    for (std::size_t number = 0; number < removedCustomerCalls; ++number) {
        CallerResult result = removedCustomerResults[number].get();
        CHECK_MESSAGE(result.executed == "no", result.body);
        CHECK(deployment.executions("removed-" + std::to_string(number)) == 0);
    }
    CHECK(callEntry(deployment.entry(3), lookupRequest()).status == 200);
    CHECK(haveSameDocument(deployment, 3, newVersion));
}

// Guards against an agent that starts a call that an entry admitted under a replaced version.
TEST_CASE("an agent refuses a call under an older configuration version than the latest one it has received")
{
    DeploymentOptions options;
    options.entries = 1;
    TestDeployment deployment(options);
    LinkPeer peer(deployment.link("agent-application-1"));
    std::optional<Frame> helloFrame = peer.waitFor({ HelloMessage::type });
    REQUIRE(helloFrame);
    std::optional<Frame> ticketsFrame = peer.waitFor({ TicketsMessage::type });
    REQUIRE(ticketsFrame);
    TicketsMessage tickets = decodeTickets(ticketsFrame->body);
    REQUIRE(tickets.count >= 2);
    CallMessage call;
    call.callId = "newer";
    call.attempt = 1;
    call.ticket = { "application-1", decodeHello(helloFrame->body).incarnation, tickets.session, tickets.firstSequence };
    call.configurationVersion = 1000;
    call.timeLeft = linkTimeout;
    call.kind = CallKind::Service;
    call.operation = "book";
    call.idempotencyKey = "newer";
    call.payload = "{}";
    peer.send(call);
    std::optional<Frame> response = peer.waitFor({ EndMessage::type, RefusedMessage::type });
    REQUIRE(response);
    CHECK(response->type == EndMessage::type);
    call.callId = "older";
    call.idempotencyKey = "older";
    ++call.ticket.sequence;
    call.configurationVersion = 999;
    peer.send(call);
    response = peer.waitFor({ EndMessage::type, RefusedMessage::type });
    REQUIRE(response);
    REQUIRE(response->type == RefusedMessage::type);
    CHECK(decodeRefused(response->body).code == ResultCode::ConfigurationOutdated);
    CHECK(deployment.executions("newer") == 1);
    CHECK(deployment.executions("older") == 0);
}

// Guards against calls that fail because of a platform outage, and against bookings and configuration changes that are
// accepted during it although they need the table.
TEST_CASE("during a platform outage calls succeed, and bookings and changes are refused and don't take effect later")
{
    DeploymentOptions options;
    options.modelEngines = 1;
    TestDeployment deployment(options);
    std::uint64_t version = deployment.version(1);
    std::string customers = sectionText(deployment, 1, "customers");
    // The other entries hold a majority of the slots, so they continue to serve without this entry.
    deployment.process("entry-3").signal(SIGKILL);
    deployment.process("entry-3").waitForExit();
    deployment.controlPlatform(R"({"down":true})");
    // A change that begins shortly after the last successful read of the table may become undecided. Later changes are
    // refused.
    std::this_thread::sleep_for(contactLeaseWait);
    deployment.startEntry(3);
    CHECK(!completionText(callEntry(deployment.entry(1), completionRequest("x", 5, false))).empty());
    CHECK(callEntry(deployment.entry(2), lookupRequest()).status == 200);
    CallerResult booking = callEntry(deployment.entry(1), bookingRequest("outage"));
    CHECK(booking.status != 200);
    CHECK_MESSAGE(booking.executed == "no", booking.body);
    HttpResponse change = deployment.changeSection(1, "customers", replaced(customers, "weight = 1", "weight = 2"), version);
    CHECK_MESSAGE(change.status == 503, change.body);
    deployment.process("entry-3").waitUntilHealthy(deployment.entry(3));
    CHECK(getHttp(deployment.entry(3), "/readyz").status == 503);
    CallerResult notReady = callEntry(deployment.entry(3), lookupRequest());
    CHECK_MESSAGE(notReady.executed == "no", notReady.body);
    deployment.controlPlatform(R"({"down":false})");
    CHECK(waitUntil([&] { return deployment.isReady(3); }));
    CHECK(deployment.executions("outage") == 0);
    CHECK(waitUntil([&] { return callEntry(deployment.entry(3), bookingRequest("after")).status == 200; }));
    CHECK(haveSameDocument(deployment, 3, version));
    // If the refused change was only delayed, it takes effect before this change.
    std::string other = replaced(customers, "weight = 1", "weight = 3");
    CHECK(waitUntil([&] { return deployment.isAccepted(2, deployment.changeSection(2, "customers", other, version)); }));
    CHECK(waitUntil([&] { return haveSameDocument(deployment, 3, version + 1); }));
    CHECK(sectionText(deployment, 3, "customers") == other);
}

// Guards against a change that is reported as refused although it is in force, or the reverse.
TEST_CASE("a change whose acknowledgement is lost is reported with its actual state")
{
    TestDeployment deployment { DeploymentOptions() };
    std::uint64_t version = deployment.version(1);
    std::string text = replaced(sectionText(deployment, 1, "customers"), "weight = 1", "weight = 2");
    std::string settings;
    SUBCASE("the connection is closed") { settings = R"({"lose_acknowledgements":1})"; }
    SUBCASE("the table responds that it is unavailable, then closes the connection") { settings = R"({"lose_acknowledgements":2})"; }
    deployment.controlPlatform(settings);
    bool isAccepted = deployment.isAccepted(1, deployment.changeSection(1, "customers", text, version));
    CHECK(waitUntil([&] { return haveSameDocument(deployment, 3, version + (isAccepted ? 1 : 0)); }));
    CHECK((sectionText(deployment, 2, "customers") == text) == isAccepted);
    // The next change is accepted.
    std::uint64_t next = deployment.version(2);
    std::string later = replaced(sectionText(deployment, 2, "customers"), "weight = 1", "weight = 4");
    CHECK(waitUntil([&] { return deployment.isAccepted(2, deployment.changeSection(2, "customers", later, next)); }));
    CHECK(waitUntil([&] { return haveSameDocument(deployment, 3, next + 1); }));
}

// Guards against a lost update: an edit that silently replaces a concurrent edit of the same section.
TEST_CASE("if two operators change the same section concurrently, exactly one succeeds")
{
    TestDeployment deployment { DeploymentOptions() };
    for (int round = 0; round < 2; ++round) {
        std::uint64_t version = deployment.version(1);
        REQUIRE(waitUntil([&] { return haveSameDocument(deployment, 3, version); }));
        std::string text = sectionText(deployment, 1, "oncall");
        std::vector<std::string> texts;
        std::vector<std::future<HttpResponse>> responses;
        for (int entry = 1; entry <= 2; ++entry) {
            texts.push_back(replaced(text, "limit_s = ", "limit_s = " + std::to_string(entry)));
            responses.push_back(std::async(std::launch::async, [&deployment, entry, edited = texts.back(), version] {
                return deployment.changeSection(entry, "oncall", edited, version);
            }));
        }
        std::vector<bool> accepted;
        for (int entry = 1; entry <= 2; ++entry) {
            HttpResponse response = responses[static_cast<std::size_t>(entry - 1)].get();
            accepted.push_back(deployment.isAccepted(entry, response));
            if (response.status >= 400)
                CHECK_MESSAGE(Json::parse(response.body).at("code").get<int>() > 0, response.body);
        }
        CHECK(accepted[0] != accepted[1]);
        CHECK(waitUntil([&] { return haveSameDocument(deployment, 3, version + 1); }));
        CHECK(sectionText(deployment, 3, "oncall") == texts[accepted[0] ? 0 : 1]);
    }
}

// Guards against a change that reverts a concurrent change of a different section.
TEST_CASE("concurrent changes of two sections are each in force or refused with a result code")
{
    TestDeployment deployment { DeploymentOptions() };
    std::uint64_t version = deployment.version(1);
    std::vector<std::string> sections { "customers", "oncall" };
    std::vector<std::string> before { sectionText(deployment, 1, "customers"), sectionText(deployment, 1, "oncall") };
    std::vector<std::string> texts { replaced(before[0], "weight = 1", "weight = 2"), replaced(before[1], "limit_s = 60", "limit_s = 30") };
    std::vector<std::future<HttpResponse>> responses;
    for (std::size_t index = 0; index < sections.size(); ++index) {
        responses.push_back(std::async(std::launch::async, [&deployment, index, section = sections[index], text = texts[index], version] {
            return deployment.changeSection(static_cast<int>(index) + 1, section, text, version);
        }));
    }
    std::uint64_t acceptedCount = 0;
    std::vector<bool> accepted;
    for (std::size_t index = 0; index < sections.size(); ++index) {
        HttpResponse response = responses[index].get();
        accepted.push_back(deployment.isAccepted(static_cast<int>(index) + 1, response));
        acceptedCount += accepted.back() ? 1 : 0;
        if (response.status >= 400)
            CHECK_MESSAGE(Json::parse(response.body).at("code").get<int>() > 0, response.body);
    }
    CHECK(acceptedCount >= 1);
    CHECK(waitUntil([&] { return haveSameDocument(deployment, 3, version + acceptedCount); }));
    for (std::size_t index = 0; index < sections.size(); ++index)
        CHECK(sectionText(deployment, 3, sections[index]) == (accepted[index] ? texts[index] : before[index]));
}

}

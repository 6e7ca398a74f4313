#include "Agent/EngineClient.h"
#include "LoopRunner.h"
#include "Transport/MalformedHeads.h"
#include "Transport/ScriptedServer.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

namespace Damaskgrade {

namespace {

struct CallResult {
    std::string text;
    std::optional<std::uint64_t> total;
    std::optional<EngineFailure> failure;
};

CallMessage callOf(CallKind kind)
{
    CallMessage call;
    call.kind = kind;
    call.operation = "book";
    call.payload = "{}";
    return call;
}

// Runs one call at an engine that responds as scripted.
CallResult run(CallKind kind, const ScriptedResponse& response)
{
    EventLoop loop;
    ScriptedServer server(loop, [&response](const HttpRequest&) { return response; });
    AgentSettings settings;
    settings.engine = server.endpoint();
    EngineClient client(loop, settings);
    CallResult result;
    EngineCallHandlers handlers;
    handlers.onText = [&](std::uint64_t, std::string_view part) { result.text += part; };
    handlers.onEnd = [&](std::uint64_t total) { result.total = total; };
    handlers.onFailure = [&](const EngineFailure& failure) { result.failure = failure; };
    client.start("key", callOf(kind), std::move(handlers));
    REQUIRE(runLoopUntil(loop, [&] { return result.total || result.failure; }));
    return result;
}

std::string wholeResponseOf(CallKind kind)
{
    std::string body = kind == CallKind::Completion ? "data: {\"offset\":0,\"text\":\"done\"}\n\ndata: {\"total\":4}\n\n" : "done";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

// Guards against a call that is reported as not executed, or that is answered with what follows a malformed head.
TEST_CASE("after a malformed response of its engine, a call fails and may have started")
{
    for (CallKind kind : { CallKind::Completion, CallKind::Service }) {
        for (const std::string& head : malformedHeads()) {
            for (bool isFollowed : { false, true }) {
                CAPTURE(head);
                CAPTURE(isFollowed);
                CallResult result = run(kind, { insertHeaderLines(head, "") + (isFollowed ? wholeResponseOf(kind) : ""), AfterResponse::Close });
                REQUIRE(result.failure);
                CHECK(result.failure->mayHaveStarted);
                CHECK(result.text.empty());
            }
        }
    }
}

// Guards against checks of responses that reject those of a sound engine.
TEST_CASE("a call receives the whole response of its engine, also after an informational response")
{
    for (CallKind kind : { CallKind::Completion, CallKind::Service }) {
        for (const std::string informational : { "", "HTTP/1.1 102 Processing\r\n\r\n" }) {
            CallResult result = run(kind, { informational + wholeResponseOf(kind), AfterResponse::Close });
            CHECK(result.total == 4);
            CHECK(result.text == "done");
        }
    }
}

}

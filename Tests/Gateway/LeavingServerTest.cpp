#include "GatewayFixture.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

ScriptedResponse respond(const HttpRequest& request, int status, bool isLeaving)
{
    std::string text = GatewayFixture::responseTo(request, "ok", status);
    if (isLeaving)
        text.insert(text.find("\r\n") + 2, "Leaving: 1\r\n");
    return { text, AfterResponse::KeepOpen, false };
}

Route plainRoute()
{
    Route route;
    route.kind = RequestKind::Idempotent;
    route.maxAttempts = 3;
    return route;
}

}

// Guards against requests to a server that has stated in any response that it leaves, while the registry lists it as ready.
TEST_CASE("a server that states in a response that it leaves gets no further request")
{
    for (int status : { 200, 500 }) {
        GatewayFixture fixture;
        int atLeaving = 0;
        int atOther = 0;
        fixture.addServer([&](const HttpRequest& request) {
            ++atLeaving;
            return respond(request, status, true);
        });
        fixture.addServer([&](const HttpRequest& request) {
            ++atOther;
            return respond(request, 200, false);
        });
        fixture.setRoute(plainRoute());
        for (int i = 0; i < 30; ++i)
            CHECK(fixture.call(fixture.request("r" + std::to_string(i))).status == 200);
        CHECK(atLeaving <= 1);
        CHECK(atOther >= 29);
    }
}

// Guards against a stream that is broken off because its server states in it that it leaves.
TEST_CASE("a stream of a server that leaves is delivered to its end")
{
    GatewayFixture fixture;
    fixture.addServer([](const HttpRequest& request) {
        std::string text = GatewayFixture::streamHead(request);
        text.insert(text.find("\r\n") + 2, "Leaving: 1\r\n");
        text += GatewayFixture::chunk(GatewayFixture::event(1)) + GatewayFixture::chunk(GatewayFixture::event(2)) + "0\r\n\r\n";
        return ScriptedResponse { text, AfterResponse::KeepOpen, false };
    });
    Route route;
    route.kind = RequestKind::Streaming;
    fixture.setRoute(route);
    CallerResult result = fixture.call(fixture.request("r1"));
    CHECK(result.isComplete);
    CHECK(result.body == GatewayFixture::event(1) + GatewayFixture::event(2));
}

// Guards against a caller that is kept waiting or told a wrong outcome when all servers of a service leave.
TEST_CASE("a request is refused as not executed when all servers have stated that they leave")
{
    GatewayFixture fixture;
    int sent = 0;
    fixture.addServer([&](const HttpRequest& request) {
        ++sent;
        return respond(request, 200, true);
    });
    fixture.setRoute(plainRoute());
    CHECK(fixture.call(fixture.request("r1")).status == 200);
    CallerResult refused = fixture.call(fixture.request("r2"));
    CHECK(refused.status == 503);
    CHECK(refused.header("Retry-After") != "");
    CHECK(sent == 1);
}

}

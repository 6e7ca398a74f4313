#include "Gateway/GatewayWorld.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

Route routeOf(RequestKind kind, std::uint32_t maxAttempts = 2)
{
    Route route;
    route.name = "r";
    route.kind = kind;
    route.timeout = std::chrono::milliseconds(3000);
    route.maxAttempts = maxAttempts;
    route.isResumable = kind == RequestKind::Streaming;
    return route;
}

}

// Guards against responses that reach another request when connections are reused under load.
TEST_CASE("every caller gets its own whole answer over reused connections")
{
    GatewayWorld world;
    world.setRoute(routeOf(RequestKind::NonIdempotent, 1));
    for (int i = 0; i < 2; ++i) {
        world.addServer([](const HttpRequest& request) {
            return ScriptedReply { GatewayWorld::ownResponse(request, "echo " + request.body + std::string(3000, 'x')), AfterReply::KeepOpen, false };
        });
    }
    int wrong = 0;
    for (int round = 0; round < 40; ++round) {
        std::vector<std::shared_ptr<CallerResult>> results;
        for (int i = 0; i < 5; ++i)
            results.push_back(world.start(world.request(std::to_string(round * 5 + i))));
        world.runUntil([&] { return std::all_of(results.begin(), results.end(), [](const auto& result) { return result->isDone; }); });
        for (std::size_t i = 0; i < results.size(); ++i) {
            std::string expected = "echo body of " + std::to_string(round * 5 + static_cast<int>(i)) + std::string(3000, 'x');
            wrong += results[i]->status != 200 || results[i]->body != expected ? 1 : 0;
        }
    }
    CHECK(wrong == 0);
    CHECK(world.pool.counters().reused > 100);
}

}

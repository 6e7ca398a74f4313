#include "CallLoadSimulation.h"
#include "Core/Error.h"
#include "Measure.h"
#include "Routing/PrefixCacheIndex.h"
#include "Routing/PromptBlocks.h"
#include "Sections.h"
#include "Transport/LinkClient.h"
#include "Transport/LinkServer.h"

#include <cstdio>
#include <memory>
#include <vector>

namespace Damaskgrade {

namespace {

constexpr std::uint16_t firstPort = 21400;
constexpr std::uint16_t portCount = 200;
constexpr std::chrono::milliseconds checkPeriod { 5 };
constexpr std::chrono::seconds openTimeout { 10 };
// Same values as in CallService and R25.
constexpr std::size_t blocksPerServer = 20000;
constexpr double callsPerSecondPerEngine = targetCallsPerSecond / targetAgents;
constexpr std::size_t promptBytes = 2000;
constexpr std::size_t promptBlocks = promptBytes / promptBlockBytes;

// Returns the bytes of memory for both ends of one link, or 0 if no port is free or the links do not open in time.
double linkBytes(std::size_t count)
{
    EventLoop loop;
    Random random(1);
    std::unique_ptr<LinkServer> server;
    LinkHandlers handlers;
    handlers.onOpen = [](const std::shared_ptr<LinkSession>&) {};
    handlers.onFrame = [](const std::shared_ptr<LinkSession>&, const Frame&) {};
    handlers.onClose = [](const std::shared_ptr<LinkSession>&) {};
    Endpoint endpoint { "127.0.0.1", firstPort };
    for (; !server && endpoint.port < firstPort + portCount; ++endpoint.port) {
        try {
            server = std::make_unique<LinkServer>(loop, endpoint, LinkKeys(), handlers);
            break;
        } catch (const Error&) {
            continue;
        }
    }
    if (!server)
        return 0;
    std::size_t before = allocatedBytes();
    std::vector<std::unique_ptr<LinkClient>> clients;
    for (std::size_t index = 0; index < count; ++index)
        clients.push_back(std::make_unique<LinkClient>(loop, random, endpoint, LinkKeys(), handlers));
    double bytes = 0;
    std::unique_ptr<Timer> checkTimer = loop.every(checkPeriod, [&] {
        if (server->counters().opened < count)
            return;
        bytes = (static_cast<double>(allocatedBytes()) - static_cast<double>(before)) / static_cast<double>(count);
        loop.stop();
    });
    std::unique_ptr<Timer> timeoutTimer = loop.after(openTimeout, [&] { loop.stop(); });
    loop.run();
    return bytes;
}

// Returns the bytes of memory of a full prefix cache index.
double cacheBytes(std::size_t servers)
{
    std::size_t before = allocatedBytes();
    PrefixCacheIndex cache(blocksPerServer);
    std::vector<CacheEvent> events(1);
    for (std::size_t server = 0; server < servers; ++server) {
        for (std::uint64_t block = 1; block <= blocksPerServer; ++block) {
            events[0] = { block, CacheEventKind::Stored, block * 0x9e3779b97f4a7c15U + server };
            cache.apply("agent-" + std::to_string(server), events);
        }
    }
    return static_cast<double>(allocatedBytes() - before);
}

double bytesPerCacheEvent()
{
    TicketsMessage message;
    std::size_t bytesWithoutEvents = wireBytes(encodeMessage(message, 1));
    constexpr std::uint64_t events = 100;
    for (std::uint64_t number = 1; number <= events; ++number)
        message.cacheEvents.push_back({ 100000 + number, CacheEventKind::Stored, number * 0x9e3779b97f4a7c15U });
    return static_cast<double>(wireBytes(encodeMessage(message, 1)) - bytesWithoutEvents) / static_cast<double>(events);
}

}

void printLinks()
{
    std::printf("\nMemory of one link, both ends in this process, over loopback\n%8s %14s\n", "links", "KB a link");
    for (std::size_t links : { 50, 100, 200 })
        std::printf("%8zu %14.1f\n", links, linkBytes(links) / 1e3);
    std::printf("\nPrefix cache index with %zu blocks for each server\n%8s %10s\n", blocksPerServer, "servers", "MB");
    for (std::size_t servers : { 8, 16, 24, 48 })
        std::printf("%8zu %10.1f\n", servers, cacheBytes(servers) / 1e6);
    double eventsPerSecond = callsPerSecondPerEngine * 2 * static_cast<double>(promptBlocks);
    double bytes = bytesPerCacheEvent();
    std::printf("\nCache events of %.1f bytes; if each prompt of %zu bytes stores its %zu blocks and evicts as many, an engine publishes %.0f/s;\n", bytes, promptBytes,
        promptBlocks, eventsPerSecond);
    std::printf("from 8, 24 and 600 engines an entry receives %.1f, %.1f and %.1f KB/s\n", 8 * eventsPerSecond * bytes / 1e3, 24 * eventsPerSecond * bytes / 1e3,
        600 * eventsPerSecond * bytes / 1e3);
    std::fflush(stdout);
}

}

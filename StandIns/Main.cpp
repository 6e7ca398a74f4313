#include "Core/Error.h"
#include "Core/SystemClock.h"
#include "StandIns/ApplicationEngineRole.h"
#include "StandIns/ModelEngineRole.h"
#include "StandIns/PlatformRole.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

using namespace Damaskgrade;

// The command-line options of all roles. The subcommand selects the role, which uses only its own options.
struct Settings {
    std::string listen;
    std::string barrier;
    std::string weightStore;
    std::int64_t listLagMs { 0 };
    std::int64_t stepMs { 20 };
    std::int64_t loadLagMs { 100 };
    std::int64_t cacheEventLagMs { 0 };
    std::int64_t serviceMs { 5 };
    PlatformOptions platform;
    ModelEngineOptions modelEngine;
    ApplicationEngineOptions applicationEngine;
};

CLI::App* addRole(CLI::App& app, Settings& settings, const std::string& name, const std::string& description)
{
    CLI::App* role = app.add_subcommand(name, description);
    role->add_option("--listen", settings.listen, "IP address and port to listen on")->required();
    return role;
}

CLI::App* addPlatform(CLI::App& app, Settings& settings)
{
    CLI::App* role = addRole(app, settings, "platform", "Table, object store, instance list and weight store");
    role->add_option("--table-writes-per-second", settings.platform.tableWritesPerSecond, "0 is unlimited");
    role->add_option("--table-reads-per-second", settings.platform.tableReadsPerSecond, "0 is unlimited");
    role->add_option("--weight-bytes-per-second", settings.platform.weightBytesPerSecond, "0 is unlimited");
    role->add_option("--list-lag-ms", settings.listLagMs, "Time until a change of the instance list becomes visible, in milliseconds");
    return role;
}

CLI::App* addModelEngine(CLI::App& app, Settings& settings)
{
    ModelEngineOptions& options = settings.modelEngine;
    CLI::App* role = addRole(app, settings, "model-engine", "Model engine with continuous batching");
    role->add_option("--name", options.name)->required();
    role->add_option("--model", options.orders.model)->required();
    role->add_option("--group", options.group);
    role->add_option("--role", options.orders.role);
    role->add_option("--ranks", options.ranks, "Number of accelerators of this engine");
    role->add_option("--capacity", options.capacity, "Number of streams that run at the same time")->check(CLI::PositiveNumber);
    role->add_option("--step-ms", settings.stepMs, "Duration of a step with an empty batch, in milliseconds");
    role->add_option("--prefill-tokens-per-ms", options.prefillTokensPerMs)->check(CLI::PositiveNumber);
    role->add_option("--experts", options.experts)->check(CLI::PositiveNumber);
    role->add_option("--map-version", options.orders.mapVersion, "Expert map at the start");
    role->add_option("--load-lag-ms", settings.loadLagMs, "Period between updates of the load report, in milliseconds")->check(CLI::PositiveNumber);
    role->add_option("--cache-blocks", options.cache.maxBlocks, "Capacity of the prefix cache in prompt blocks of 256 bytes");
    role->add_option("--cache-event-lag-ms", settings.cacheEventLagMs);
    role->add_option("--cache-event-gap-every", options.cache.eventGapEvery, "Omits each event whose sequence number is a multiple of this");
    role->add_option("--barrier", settings.barrier, "Address of the engine that hosts the barrier: the first one of the group");
    role->add_option("--group-engines", options.groupEngines, "Number of engines of the group; used by the engine that hosts the barrier")->check(CLI::PositiveNumber);
    role->add_option("--weight-store", settings.weightStore, "Address of the platform, which serves the weights");
    role->add_flag("--check-fencing", options.orders.checksFencing, "Refuses orders with a stale fencing token");
    role->add_flag("--wait-for-map", options.orders.waitsForMap, "Runs no step before an order has set the expert map");
    return role;
}

CLI::App* addApplicationEngine(CLI::App& app, Settings& settings)
{
    CLI::App* role = addRole(app, settings, "application-engine", "Application engine without batching");
    role->add_option("--name", settings.applicationEngine.name)->required();
    role->add_option("--service", settings.applicationEngine.service)->required();
    role->add_option("--service-ms", settings.serviceMs, "Duration of a call, in milliseconds");
    return role;
}

// Copies the times and addresses into the options of the roles, converted to their types.
void convertOptions(Settings& settings)
{
    settings.platform.listen = parseEndpoint(settings.listen);
    settings.platform.listLag = std::chrono::milliseconds(settings.listLagMs);
    settings.modelEngine.listen = parseEndpoint(settings.listen);
    settings.modelEngine.stepTime = std::chrono::milliseconds(settings.stepMs);
    settings.modelEngine.loadLag = std::chrono::milliseconds(settings.loadLagMs);
    settings.modelEngine.cache.eventLag = std::chrono::milliseconds(settings.cacheEventLagMs);
    if (!settings.barrier.empty())
        settings.modelEngine.barrier = parseEndpoint(settings.barrier);
    if (!settings.weightStore.empty())
        settings.modelEngine.weightStore = parseEndpoint(settings.weightStore);
    settings.applicationEngine.listen = parseEndpoint(settings.listen);
    settings.applicationEngine.serviceTime = std::chrono::milliseconds(settings.serviceMs);
}

// Runs a role until the process receives SIGTERM.
template <typename Role, typename... Arguments>
void runRole(EventLoop& loop, const Settings& settings, const std::string& name, Arguments&&... arguments)
{
    loop.onTermination([&loop] { loop.stop(); });
    Role role(loop, std::forward<Arguments>(arguments)...);
    std::cout << name << " is ready on " << settings.listen << std::endl;
    loop.run();
}

}

int main(int argumentCount, char** arguments)
{
    CLI::App app("Stand-ins for the platform and the backend servers", "damaskgrade-standins");
    Settings settings;
    app.require_subcommand(1);
    CLI::App* platform = addPlatform(app, settings);
    CLI::App* modelEngine = addModelEngine(app, settings);
    addApplicationEngine(app, settings);
    CLI11_PARSE(app, argumentCount, arguments);
    try {
        convertOptions(settings);
        EventLoop loop;
        SystemClock clock;
        if (platform->parsed())
            runRole<PlatformRole>(loop, settings, "platform", clock, settings.platform);
        else if (modelEngine->parsed())
            runRole<ModelEngineRole>(loop, settings, "model-engine", clock, settings.modelEngine);
        else
            runRole<ApplicationEngineRole>(loop, settings, "application-engine", settings.applicationEngine);
    } catch (const Error& failure) {
        std::cerr << resultNumber(failure.code()) << " " << resultName(failure.code()) << ": " << failure.what() << std::endl;
        return 1;
    }
    return 0;
}

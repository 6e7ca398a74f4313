#include "Process/TestDeployment.h"

#include "Process/CallerRequests.h"
#include "Process/SyncHttp.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <unistd.h>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

constexpr std::chrono::milliseconds pollPeriod { 20 };
// Only reached if the condition never holds.
constexpr std::chrono::seconds waitTimeout { 30 };
// Below the range of ephemeral ports, which the kernel assigns to outgoing connections.
constexpr std::uint16_t firstPort = 20000;
constexpr const char* zone = "zone-a";

// Returns a loopback address derived from the id of this process, so that concurrent test runs never use the same port.
std::string processLoopbackAddress()
{
    constexpr unsigned byteBits = 8;
    constexpr unsigned byteMask = 0xff;
    // The range from 127.64.0.0 to 127.127.255.255 has 22 bits, as many as the largest process id of Linux.
    constexpr unsigned firstBlock = 64;
    unsigned id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(firstBlock + (id >> 2 * byteBits)) + "." + std::to_string((id >> byteBits) & byteMask) + "." + std::to_string(id & byteMask);
}

constexpr const char* documentText = R"([customers.first]
weight = 1
priority = 5
max_in_flight = 100
deadline_ms = 25000
models = ["model"]
services = ["service"]

[customers.second]
weight = 1
priority = 5
max_in_flight = 100
deadline_ms = 25000
models = ["model"]
services = ["service"]

[models.model.model]
groups = ["group-1", "group-2"]
ranks = 1
layers = 1
experts_per_layer = 4
expert_slots_per_rank = 4

[models.service.service.operation]
book = { idempotent = false }
lookup = { idempotent = true }

[oncall.timeouts]
default_deadline_ms = 25000
max_deadline_ms = 25000
stall_ms = 3000
resolve_ms = 1000

[oncall.drain]
limit_s = 60

[oncall.retries]
share = 0.2
floor_per_s = 2

[oncall.ejection]
after_errors = 5
for_s = 30
max_share = 0.3

[scheduling.default]
skew_weight = 1
cost_weight = 1
horizon_s = 600
min_interval_s = 60
max_moved_mib = 8192
max_stall_ms = 200

# The SHA-256 of operatorToken.
[teams.operators]
sections = ["customers", "models", "oncall", "scheduling", "teams"]
token_sha256 = ["4c5dc9b7708905f77f5e5d16316b5dfb425e68cb326dcd55a860e90a7707031e"]
)";

std::string writeDocument()
{
    std::string path = (std::filesystem::temp_directory_path() / ("damaskgrade-test-" + std::to_string(getpid()) + ".toml")).string();
    std::ofstream file(path);
    file << documentText;
    if (!file.flush())
        throw std::runtime_error("can't write " + path);
    return path;
}

}

bool waitUntil(const std::function<bool()>& condition)
{
    std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

TestDeployment::TestDeployment(const DeploymentOptions& options)
    : options_(options)
    , documentPath_(writeDocument())
    , nextPort_(firstPort)
{
    startPlatform();
    for (int number = 1; number <= options_.modelEngines; ++number)
        startModelEngine(number);
    for (int number = 1; number <= options_.applicationEngines; ++number)
        startApplicationEngine(number);
    for (int number = 1; number <= options_.entries; ++number)
        startEntry(number);
    for (int number = 1; number <= options_.entries; ++number) {
        if (!waitUntil([this, number] { return isReady(number); }))
            throw std::runtime_error("entry-" + std::to_string(number) + " did not become ready");
    }
}

TestDeployment::~TestDeployment()
{
    std::error_code ignored;
    std::filesystem::remove(documentPath_, ignored);
}

Endpoint TestDeployment::newEndpoint()
{
    return { processLoopbackAddress(), nextPort_++ };
}

std::string TestDeployment::slots() const
{
    std::string names;
    for (int number = 1; number <= options_.entries; ++number)
        names += (names.empty() ? "entry-" : ",entry-") + std::to_string(number);
    return names;
}

void TestDeployment::startPlatform()
{
    Endpoint listen = newEndpoint();
    endpoints_["platform"] = listen;
    processes_["platform"] = std::make_unique<ChildProcess>(DAMASKGRADE_STAND_INS,
        std::vector<std::string> { "platform", "--listen", formatEndpoint(listen), "--list-lag-ms", "100" });
    processes_["platform"]->waitUntilHealthy(listen);
}

void TestDeployment::startModelEngine(int number)
{
    std::string name = "model-" + std::to_string(number);
    // Each engine has a separate group, so that the failure of one doesn't stall the others.
    std::string group = "group-" + std::to_string(number);
    Endpoint engine = newEndpoint();
    endpoints_["engine-" + name] = engine;
    processes_["engine-" + name] = std::make_unique<ChildProcess>(DAMASKGRADE_STAND_INS,
        std::vector<std::string> { "model-engine", "--listen", formatEndpoint(engine), "--name", name, "--model", "model",
            "--group", group, "--ranks", "1", "--step-ms", std::to_string(options_.stepMilliseconds) });
    agentArguments_[name] = { "--engine", formatEndpoint(engine), "--engine-kind", "model", "--serves", "model", "--group", group };
    startAgent(name);
    registerInstance(name, "backendServer", "model", links_.at("agent-" + name), "");
}

void TestDeployment::startApplicationEngine(int number)
{
    std::string name = "application-" + std::to_string(number);
    Endpoint engine = newEndpoint();
    endpoints_["engine-" + name] = engine;
    processes_["engine-" + name] = std::make_unique<ChildProcess>(DAMASKGRADE_STAND_INS,
        std::vector<std::string> { "application-engine", "--listen", formatEndpoint(engine), "--name", name, "--service", "service",
            "--service-ms", std::to_string(options_.serviceMilliseconds) });
    agentArguments_[name] = { "--engine", formatEndpoint(engine), "--engine-kind", "application", "--serves", "service" };
    startAgent(name);
    registerInstance(name, "backendServer", "service", links_.at("agent-" + name), "");
}

void TestDeployment::startAgent(const std::string& engine)
{
    std::string name = "agent-" + engine;
    if (endpoints_.count(name) == 0) {
        endpoints_[name] = newEndpoint();
        links_[name] = newEndpoint();
    }
    std::vector<std::string> arguments { "agent", "--name", engine, "--availability-zone", zone, "--link", formatEndpoint(links_[name]),
        "--http", formatEndpoint(endpoints_[name]), "--platform", formatEndpoint(platform()) };
    arguments.insert(arguments.end(), agentArguments_[engine].begin(), agentArguments_[engine].end());
    processes_[name] = std::make_unique<ChildProcess>(DAMASKGRADE_PROGRAM, arguments);
}

void TestDeployment::startEntry(int number)
{
    std::string name = "entry-" + std::to_string(number);
    if (endpoints_.count(name) == 0) {
        endpoints_[name] = newEndpoint();
        links_[name] = newEndpoint();
        registerInstance(name, "entry", "", links_[name], formatEndpoint(endpoints_[name]));
    }
    processes_[name] = std::make_unique<ChildProcess>(DAMASKGRADE_PROGRAM,
        std::vector<std::string> { "entry", "--name", name, "--availability-zone", zone, "--callers", formatEndpoint(endpoints_[name]),
            "--link", formatEndpoint(links_[name]), "--platform", formatEndpoint(platform()), "--slots", slots(), "--initial-document", documentPath_ });
}

void TestDeployment::registerInstance(const std::string& name, const std::string& role, const std::string& serves, const Endpoint& link, const std::string& callers) const
{
    Json record { { "name", name }, { "role", role }, { "state", "live" }, { "availabilityZone", zone }, { "serves", serves }, { "link", formatEndpoint(link) } };
    if (!callers.empty())
        record["callers"] = callers;
    HttpRequest request;
    request.method = "PUT";
    request.target = "/v1/instances/" + name;
    request.body = record.dump();
    if (exchangeHttp(platform(), request).status / 100 != 2)
        throw std::runtime_error("can't register " + name);
}

bool TestDeployment::isReady(int entry) const
{
    if (getHttp(this->entry(entry), "/readyz").status != 200)
        return false;
    Json status = Json::parse(getHttp(this->entry(entry), "/v1/status").body, nullptr, false);
    if (!status.is_object() || status.at("backend_servers").size() != agentArguments_.size())
        return false;
    for (const Json& server : status.at("backend_servers")) {
        if (!server.at("connected").get<bool>() || server.at("tickets").get<int>() == 0)
            return false;
    }
    return true;
}

void TestDeployment::controlPlatform(const std::string& settings) const
{
    if (postHttp(platform(), "/control", settings).status != 200)
        throw std::runtime_error("the platform did not accept " + settings);
}

std::uint64_t TestDeployment::executionsAt(const std::string& engine, const std::string& key) const
{
    Json counts = Json::parse(getHttp(endpoint("engine-" + engine), "/v1/executions").body);
    return counts.value("book/" + key, std::uint64_t { 0 });
}

std::uint64_t TestDeployment::executions(const std::string& key) const
{
    std::uint64_t sum = 0;
    for (int number = 1; number <= options_.applicationEngines; ++number)
        sum += executionsAt("application-" + std::to_string(number), key);
    return sum;
}

HttpResponse TestDeployment::document(int entry) const
{
    return getHttp(this->entry(entry), "/v1/config");
}

std::uint64_t TestDeployment::version(int entry) const
{
    std::string text = findHeader(document(entry).headers, "ETag").value_or("\"0\"");
    return std::strtoull(text.c_str() + 1, nullptr, 10);
}

HttpResponse TestDeployment::changeSection(int entry, const std::string& section, const std::string& text, std::uint64_t baseVersion) const
{
    HttpRequest request;
    request.method = "PUT";
    request.target = "/v1/config/sections/" + section;
    request.headers.push_back({ "If-Match", "\"" + std::to_string(baseVersion) + "\"" });
    request.headers.push_back({ "Authorization", std::string("Bearer ") + operatorToken });
    request.body = text;
    return exchangeHttp(this->entry(entry), request);
}

bool TestDeployment::isAccepted(int entry, const HttpResponse& response) const
{
    if (response.status != 202)
        return response.status == 200;
    std::string target = "/v1/config/changes/" + Json::parse(response.body).at("id").get<std::string>();
    std::string state;
    waitUntil([this, entry, &target, &state] {
        state = Json::parse(getHttp(this->entry(entry), target).body).value("state", "");
        return state == "accepted" || state == "refused";
    });
    return state == "accepted";
}

double TestDeployment::metric(const std::string& process, const std::string& name) const
{
    std::string metricsText = "\n" + getHttp(endpoint(process), "/metrics").body;
    std::size_t line = metricsText.find("\n" + name + " ");
    return line == std::string::npos ? 0 : std::strtod(metricsText.c_str() + line + name.size() + 2, nullptr);
}

}

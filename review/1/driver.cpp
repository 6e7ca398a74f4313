// Case 1: a second copy of an engine's refusal, which arrives late, is taken for the answer to the next send of the same request.
#include "../Deployment.h"

#include <algorithm>
#include <random>
#include <set>

using namespace StandIns;

namespace {

constexpr int engineCount = 3;
constexpr int garblingEngines = 2;
constexpr double copyShare = 0.03;
constexpr int gatewayCount = 4;
// Of all clients together: the bookings of tubolimpo-sul (6.39 a second) in a burst of 1.7 times the traffic.
constexpr double requestsPerSecond = 10.9;
constexpr int seconds = 95;
constexpr int deadlineMs = 1000;
constexpr int workMs = 30;
// From fullFromS on, other callers fill all engines for fullMs in each fullPeriodMs.
constexpr int fullMs = 100;
constexpr int fullPeriodMs = 300;
constexpr int fullFromS = 3;

struct Runs {
    std::mutex mutex;
    std::map<std::string, int> count;
};

bool isFull()
{
    return nowMs() > fullFromS * 1000 && nowMs() % fullPeriodMs < fullMs;
}

}

int runCase(const std::string& recordPath)
{
    bool hasTrouble = environmentOr("TROUBLE", "1") != "0";
    // Threads of the stand-ins use these objects until the process ends.
    Record& record = *new Record(recordPath);
    Folder folder;
    int base = freePorts(16);
    Address storeAddress { "127.0.0.2", base + 10 };
    Store& store = *new Store(storeAddress, record);
    Json routes = Json::array({ route("dig-book", "/puxa403/", "agenda", "non_idempotent", deadlineMs, 150, 1) });
    Json services = Json::array({ { { "Name", "agenda" }, { "HealthPath", "/health" }, { "MaxConnections", 110 }, { "Slots", 6 } } });
    store.put("op", "config", configuration(3, routes, services).dump());

    Runs& runs = *new Runs;
    std::mutex& copiesMutex = *new std::mutex;
    auto& copies = *new std::map<Connection*, std::string>;
    auto& random = *new std::mt19937(static_cast<unsigned>(std::random_device {}()));
    auto& sentCopies = *new std::atomic<int> { 0 };
    // An answer of a garbling engine is followed by a second copy of itself, which arrives where the next answer is expected.
    auto answer = [&record, &copiesMutex, &copies, &random, hasTrouble](Engine& engine, const std::shared_ptr<Connection>& connection, const std::string& bytes) {
        bool isGarbling = hasTrouble && engine.settings().id < "i-" + std::to_string(garblingEngines);
        {
            std::lock_guard<std::mutex> lock(copiesMutex);
            if (isGarbling && std::uniform_real_distribution<double>(0, 1)(random) < copyShare)
                copies[connection.get()] = bytes;
        }
        return connection->send(bytes);
    };
    auto handler = [&record, &runs, &copiesMutex, &copies, &sentCopies, answer](Engine& engine, const std::shared_ptr<Connection>& connection, const Message& request) {
        std::string id = request.header("X-Damaskgrade-Request-Id");
        std::string copy;
        {
            std::lock_guard<std::mutex> lock(copiesMutex);
            auto found = copies.find(connection.get());
            if (found != copies.end()) {
                copy = found->second;
                copies.erase(found);
            }
        }
        if (!copy.empty()) {
            record.line("engine %s sends the second copy of its last answer on the connection of request %s", engine.settings().id.c_str(), id.c_str());
            ++sentCopies;
            connection->send(copy);
        }
        if (isFull()) {
            record.line("engine %s is full and refuses %s", engine.settings().id.c_str(), id.c_str());
            return answer(engine, connection, engine.refusal(request));
        }
        {
            std::lock_guard<std::mutex> lock(runs.mutex);
            ++runs.count[id];
        }
        record.line("engine %s runs %s", engine.settings().id.c_str(), id.c_str());
        sleepMs(workMs);
        return answer(engine, connection, engine.success(request, "booked " + id));
    };
    auto& engines = *new std::vector<std::unique_ptr<Engine>>;
    const char* zones[] = { "sul-a", "sul-b", "sul-c" };
    for (int i = 0; i < engineCount; ++i)
        engines.push_back(std::make_unique<Engine>(EngineSettings { "i-" + std::to_string(i), "agenda", zones[i % 3], { "127.0.0.2", base + 11 + i }, 6 }, store, handler));

    std::vector<GatewayAddresses> addresses;
    std::vector<std::unique_ptr<Process>> gateways;
    std::string seeds;
    for (int i = 0; i < gatewayCount; ++i)
        seeds += (i > 0 && i < 3 ? "," : "") + (i < 3 ? "127.0.0." + std::to_string(3 + i) + ":" + std::to_string(base + 9) : "");
    for (int i = 0; i < gatewayCount; ++i) {
        std::string name = "edge-" + std::string(zones[i % 3]) + "-" + std::to_string(i + 1);
        addresses.push_back(writeGatewaySettings(folder / (name + ".conf"), name, "127.0.0." + std::to_string(3 + i), zones[i % 3], base, seeds, storeAddress));
        gateways.push_back(std::make_unique<Process>(commandOf("gateway"), folder / (name + ".conf"), folder / (name + ".log")));
    }
    for (const GatewayAddresses& gateway : addresses) {
        if (!waitUntilReady(gateway.readiness, 10000)) {
            record.line("a gateway is not ready");
            return 2;
        }
    }

    std::mutex answersMutex;
    std::map<std::string, int> answers;
    std::vector<std::thread> clients;
    std::int64_t start = nowMs();
    for (int i = 0; i < static_cast<int>(requestsPerSecond * seconds); ++i) {
        sleepMs(start + static_cast<std::int64_t>(i * 1000 / requestsPerSecond) - nowMs());
        clients.emplace_back([&, i] {
            char id[32];
            std::snprintf(id, sizeof id, "%016x", 0x1000 + i);
            std::string body = "book " + std::to_string(i);
            std::shared_ptr<Connection> connection = connectTo(addresses[static_cast<std::size_t>(i % gatewayCount)].front);
            if (!connection)
                return;
            connection->send(requestHead("POST", "/puxa403/2f", id, deadlineMs, body.size()) + body);
            Response response = readResponse(*connection, deadlineMs);
            record.line("client gets %d for %s", response.status, id);
            std::lock_guard<std::mutex> lock(answersMutex);
            answers[id] = response.status;
        });
    }
    for (std::thread& client : clients)
        client.join();
    sleepMs(2000);

    int twice = 0;
    int refusedAndRun = 0;
    int served = 0;
    int refused = 0;
    for (const auto& [id, status] : answers) {
        served += status == 200 ? 1 : 0;
        bool isPromise = status == 503 || status == 429 || status == 408 || status == 421;
        refused += isPromise ? 1 : 0;
        auto ran = runs.count.find(id);
        if (ran != runs.count.end() && ran->second > 1) {
            ++twice;
            record.line("TWICE: %s ran %d times", id.c_str(), ran->second);
        }
        if (isPromise && ran != runs.count.end()) {
            ++refusedAndRun;
            record.line("REFUSED: %s was answered %d and ran", id.c_str(), status);
        }
    }
    bool hasGatewayEnded = std::any_of(gateways.begin(), gateways.end(), [](const auto& gateway) { return !gateway->isRunning(); });
    record.line("requests %zu, served %d, refused %d, copies sent %d, TWICE %d, REFUSED %d", answers.size(), served, refused, sentCopies.load(), twice, refusedAndRun);
    std::printf("requests %zu, served %d, refused %d, copies sent %d, TWICE %d, REFUSED %d\n", answers.size(), served, refused, sentCopies.load(), twice, refusedAndRun);
    if (hasGatewayEnded || served == 0)
        return 2;
    return twice > 0 || refusedAndRun > 0 ? 1 : 0;
}

int main(int argumentCount, char** arguments)
{
    int status = runCase(argumentCount > 1 ? arguments[1] : "record.txt");
    std::fflush(stdout);
    // Threads of the stand-ins may still run.
    _exit(status);
}

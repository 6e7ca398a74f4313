// Case 2: a machine is stopped as planned while engines are short of memory. A stream whose request is preempted at two engines in
// turn is ended by the gateway, though both engines are sound and would go on.
#include "../Deployment.h"

#include <algorithm>

using namespace StandIns;

namespace {

constexpr int engineCount = 4;
constexpr int eventMs = 60;
constexpr int eventsPerStream = 40;
constexpr int eventsBeforePreemption = 5;
// How long a preempted request waits for memory and is read again. Clients abandon a stream after a gap of 2000 ms.
constexpr int preemptedMs = 1300;
constexpr int deadlineMs = 8000;
constexpr int targetMs = 400;
constexpr int clientGapMs = 2000;
constexpr int graceMs = 8000;
constexpr int longStreams = 8;
constexpr int shortStreams = 6;

// Memory of an engine: while it is short, a request that is the newest one of the engine is preempted once.
struct Memory {
    std::mutex mutex;
    bool isShort { false };
    std::map<std::string, int> newest;
};

std::string chunk(const std::string& bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx", bytes.size());
    return std::string(size) + "\r\n" + bytes + "\r\n";
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
    Json routes = Json::array({ route("crew-brief", "/lohu930/", "redator", "streaming", deadlineMs, targetMs, 2) });
    Json services = Json::array({ { { "Name", "redator" }, { "HealthPath", "/health" }, { "MaxConnections", 258 }, { "Slots", 12 } } });
    store.put("op", "config", configuration(3, routes, services).dump());

    Memory& memory = *new Memory;
    auto handler = [&record, &memory](Engine& engine, const std::shared_ptr<Connection>& connection, const Message& request) {
        std::string id = request.header("X-Damaskgrade-Request-Id");
        const std::string& engineId = engine.settings().id;
        int last = std::atoi(request.header("Last-Event-Id").c_str());
        int events = std::atoi(request.body.c_str());
        int number = 0;
        bool isPreempted = false;
        {
            std::lock_guard<std::mutex> lock(memory.mutex);
            number = ++memory.newest[engineId];
        }
        record.line("engine %s runs %s from event %d", engineId.c_str(), id.c_str(), last + 1);
        if (!connection->send("HTTP/1.1 200 OK\r\n" + engine.commonHeaders(request) + "X-Damaskgrade-Response-Signature: " + engineId + ".1\r\nX-Damaskgrade-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        sleepMs(2 * eventMs);
        for (int event = last + 1; event <= events; ++event) {
            if (connection->isClosed()) {
                record.line("engine %s: the caller has closed %s after event %d", engineId.c_str(), id.c_str(), event - 1);
                return false;
            }
            if (!connection->send(chunk("id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + " of " + id + "\n\n")))
                return false;
            bool mustWait = false;
            {
                std::lock_guard<std::mutex> lock(memory.mutex);
                mustWait = memory.isShort && !isPreempted && event - last == eventsBeforePreemption && number == memory.newest[engineId];
            }
            if (mustWait) {
                isPreempted = true;
                record.line("engine %s preempts %s, its newest request, after event %d", engineId.c_str(), id.c_str(), event);
                sleepMs(preemptedMs);
                if (!connection->isClosed())
                    record.line("engine %s goes on with %s", engineId.c_str(), id.c_str());
            }
            sleepMs(eventMs);
        }
        connection->send("0\r\n\r\n");
        record.line("engine %s has ended %s", engineId.c_str(), id.c_str());
        return true;
    };
    const char* zones[] = { "sul-a", "sul-b", "sul-c" };
    auto& engines = *new std::vector<std::unique_ptr<Engine>>;
    for (int i = 0; i < engineCount; ++i)
        engines.push_back(std::make_unique<Engine>(EngineSettings { "i-" + std::to_string(i), "redator", zones[i % 3], { "127.0.0.2", base + 11 + i }, 12 }, store, handler));

    std::vector<GatewayAddresses> addresses;
    std::vector<std::unique_ptr<Process>> gateways;
    for (int i = 0; i < 2; ++i) {
        std::string name = "edge-" + std::string(zones[i]) + "-1";
        addresses.push_back(writeGatewaySettings(folder / (name + ".conf"), name, "127.0.0." + std::to_string(3 + i), zones[i], base, "127.0.0.3:" + std::to_string(base + 9) + ",127.0.0.4:" + std::to_string(base + 9), storeAddress));
        gateways.push_back(std::make_unique<Process>(commandOf("gateway"), folder / (name + ".conf"), folder / (name + ".log")));
    }
    for (const GatewayAddresses& gateway : addresses) {
        if (!waitUntilReady(gateway.readiness, 10000)) {
            record.line("a gateway is not ready");
            return 2;
        }
    }
    sleepMs(4000);

    struct Outcome {
        std::string id;
        std::int64_t sentAt { 0 };
        std::int64_t endedAt { 0 };
        int expectedEvents { 0 };
        Response response;
    };
    std::mutex outcomesMutex;
    std::vector<Outcome> outcomes;
    std::vector<std::thread> clients;
    auto startStream = [&](int number, int gateway, int events) {
        clients.emplace_back([&, number, gateway, events] {
            Outcome outcome;
            char id[32];
            std::snprintf(id, sizeof id, "%016x", number);
            outcome.id = id;
            outcome.expectedEvents = events;
            std::shared_ptr<Connection> connection = connectTo(addresses[static_cast<std::size_t>(gateway)].front);
            if (!connection)
                return;
            std::string body = std::to_string(events);
            outcome.sentAt = nowMs();
            connection->send(requestHead("POST", "/lohu930/2f", id, deadlineMs, body.size(), "X-Damaskgrade-Model: m\r\nX-Damaskgrade-Token-Usage: 1000,200\r\n") + body);
            record.line("client sends %s to gateway %d", id, gateway);
            outcome.response = readResponse(*connection, clientGapMs);
            outcome.endedAt = nowMs();
            record.line("client: %s ends with status %d, %zu events of %d, %s", id, outcome.response.status, outcome.response.eventTimes.size(), events,
                outcome.response.isComplete ? "complete" : (outcome.response.hasTimedOut ? "given up by the client" : "the connection was closed early"));
            std::lock_guard<std::mutex> lock(outcomesMutex);
            outcomes.push_back(outcome);
        });
    };
    // The other gateway's streams keep all engines busy.
    for (int i = 0; i < longStreams; ++i)
        startStream(0x100 + i, 1, 100);
    sleepMs(700);
    {
        std::lock_guard<std::mutex> lock(memory.mutex);
        memory.isShort = hasTrouble;
    }
    if (hasTrouble)
        record.line("the engines are short of memory");
    for (int i = 0; i < shortStreams; ++i) {
        startStream(0x200 + i, 0, eventsPerStream);
        sleepMs(60);
    }
    sleepMs(200);
    std::int64_t stoppedAt = nowMs();
    record.line("SIGTERM to gateway 0");
    gateways[0]->signal(SIGTERM);
    for (std::thread& client : clients)
        client.join();
    std::int64_t end = stoppedAt + graceMs;
    while (nowMs() < end && gateways[0]->isRunning())
        sleepMs(50);
    record.line(gateways[0]->isRunning() ? "gateway 0 still runs" : "gateway 0 has ended by itself");

    int lost = 0;
    int complete = 0;
    for (const Outcome& outcome : outcomes) {
        complete += outcome.response.isComplete ? 1 : 0;
        bool isOfStoppedGateway = outcome.id >= "0000000000000200";
        bool hasEndedEarly = !outcome.response.isComplete && !outcome.response.hasTimedOut && outcome.endedAt < outcome.sentAt + deadlineMs && outcome.endedAt < stoppedAt + graceMs * 5 / 6;
        if (isOfStoppedGateway && hasEndedEarly) {
            ++lost;
            record.line("LOST: %s ended without a complete answer %lld ms after it was sent and %lld ms after the SIGTERM", outcome.id.c_str(),
                static_cast<long long>(outcome.endedAt - outcome.sentAt), static_cast<long long>(outcome.endedAt - stoppedAt));
        }
    }
    record.line("streams %zu, complete %d, LOST %d", outcomes.size(), complete, lost);
    std::printf("streams %zu, complete %d, LOST %d\n", outcomes.size(), complete, lost);
    if (complete == 0)
        return 2;
    return lost > 0 ? 1 : 0;
}

}

int main(int argumentCount, char** arguments)
{
    int status = runCase(argumentCount > 1 ? arguments[1] : "record.txt");
    std::fflush(stdout);
    // Threads of the stand-ins may still run.
    _exit(status);
}

// Engines run requests and lose some of the answers: the connection is reset. Routes allow two engines for each client attempt.
#include "Kit.h"

#include <random>
#include <set>

using namespace Kit;

namespace {

// The largest dose of the site file: 0.6 of the engines lose 0.4 of the answers for 4 s.
constexpr double lostShare = 0.4;
constexpr double lossSeconds = 4;
constexpr int lossyEngines = 2;
constexpr double firstLoss = 3;
constexpr double secondLoss = 11;
constexpr double runSeconds = 17;
constexpr int clientCount = 20;
constexpr int maxAttempts = 2;

std::atomic<double> trafficStart { 0 };

bool isLossTime()
{
    double time = now() - trafficStart;
    return (time >= firstLoss && time < firstLoss + lossSeconds) || (time >= secondLoss && time < secondLoss + lossSeconds);
}

}

int main(int, char** arguments)
{
    record.open(std::string(arguments[1]) + "/record.txt");
    Store store("127.64.0.1");
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 1; i <= 3; ++i) {
        auto random = std::make_shared<std::mt19937>(std::random_device()());
        auto mutex = std::make_shared<std::mutex>();
        Engine::Hook loseAnswer = [random, mutex, isLossy = hasTrouble() && i <= lossyEngines](Engine& engine, int socket, const Message& request) {
            std::lock_guard<std::mutex> lock(*mutex);
            if (!isLossy || !isLossTime() || std::uniform_real_distribution<double>(0, 1)(*random) >= lostShare)
                return true;
            record.write(engine.id() + " has run " + request.header("X-Damaskgrade-Request-Id") + "; its answer is lost");
            resetConnection(socket);
            return false;
        };
        engines.push_back(std::make_unique<Engine>(store, "127.64.1." + std::to_string(i), "i-" + std::to_string(i), "app", 6, 0.03, loseAnswer));
    }
    putConfiguration(store, { makeRoute("look", "/look/", "app", "idempotent", maxAttempts, 800) }, "app");
    Gateway gateway(store, "127.64.2.1", "edge-a-1");

    trafficStart = now();
    std::mutex mutex;
    std::map<std::string, std::string> outcomes;
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, i] {
            int socket = -1;
            std::unique_ptr<Reader> reader;
            for (int n = 0; now() - trafficStart < runSeconds; ++n) {
                if (socket < 0) {
                    socket = connectTo(gateway.callers(), 3);
                    reader = std::make_unique<Reader>(socket);
                }
                std::string id = "look-" + std::to_string(i) + "-" + std::to_string(n);
                Message answer;
                bool isRead = sendAll(socket, requestHead("GET", "/look/x", id, 1500) + "\r\n") && reader->read(answer, true);
                {
                    std::lock_guard<std::mutex> lock(mutex);
                    outcomes[id] = isRead ? answer.start : reader->error();
                }
                if (!isRead) {
                    ::close(socket);
                    socket = -1;
                }
                sleepFor(0.35 + 0.01 * i);
            }
            ::close(socket);
        });
    }
    for (std::thread& client : clients)
        client.join();

    std::map<std::string, std::set<std::string>> enginesOf;
    for (const std::unique_ptr<Engine>& engine : engines) {
        for (const auto& [id, count] : engine->runs())
            enginesOf[id].insert(engine->id());
    }
    int tooMany = 0;
    for (const auto& [id, ran] : enginesOf) {
        if (ran.size() <= maxAttempts)
            continue;
        ++tooMany;
        record.write(id + " ran on " + std::to_string(ran.size()) + " engines, and the client got " + outcomes[id]);
    }
    int code = verdict(tooMany > 3, std::to_string(tooMany) + " of " + std::to_string(enginesOf.size()) + " requests ran on more engines than their route's MaxAttempts of 2");
    gateway.end();
    std::_Exit(code);
}

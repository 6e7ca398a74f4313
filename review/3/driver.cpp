// Case 3: an engine answers /-/report with bytes without end. The rank agent of its machine crashes, each time it is restarted.
#include "../Deployment.h"

using namespace StandIns;

namespace {

constexpr int rankCount = 4;
// Engines in trouble: half of them.
constexpr int troubledEngines = 2;
constexpr int soundMs = 4000;
constexpr int troubleMs = 15000;
constexpr int restartMs = 1000;
constexpr int expertSets = 4;
constexpr int expertsPerSet = 64;
// The rule counts machines on which processes end by themselves this often, and is broken by two such machines.
constexpr int endsPerMachine = 3;
constexpr int machinesToBreak = 2;

// The calls of a rank of a model engine that the agents make.
class RankEngine {
public:
    RankEngine(const Address& address, int rank, Record& record)
        : rank_(rank)
        , record_(record)
        , listener_(address, [this](const std::shared_ptr<Connection>& connection) { serve(connection); })
    {
    }

    void setTroubled(bool isTroubled) { isTroubled_ = isTroubled; }

private:
    void serve(const std::shared_ptr<Connection>& connection)
    {
        while (std::optional<Message> request = connection->readRequest(60000)) {
            std::string path = request->target.substr(0, request->target.find('?'));
            if (isTroubled_ && path == "/-/report") {
                sendWithoutEnd(*connection);
                return;
            }
            std::string answer;
            if (path == "/-/report")
                answer = jsonResponse(200, report());
            else if (path == "/-/picked" && request->target.find("Lists") != std::string::npos)
                answer = jsonResponse(200, lists());
            else if (path == "/-/picked")
                answer = jsonResponse(200, { { "step", step() }, { "epoch", 1 }, { "Counts", Json(std::vector<int>(expertSets * expertsPerSet, 0)) }, { "born", 1 } });
            else
                answer = jsonResponse(409, Json::object());
            if (!connection->send(answer))
                return;
        }
    }

    // Sends a body until the caller closes.
    void sendWithoutEnd(Connection& connection)
    {
        record_.line("engine of rank %d answers /-/report with a body without end", rank_);
        std::string bytes(65536, 'x');
        std::string chunk = "10000\r\n" + bytes + "\r\n";
        std::size_t sent = 0;
        connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (connection.send(chunk))
            sent += bytes.size();
        record_.line("engine of rank %d: the caller has closed after %zu bytes", rank_, sent);
    }

    std::uint64_t step() const { return static_cast<std::uint64_t>(nowMs() / 50); }

    Json report() const
    {
        return { { "Stage", "prefill_decode" }, { "Models", Json::array() }, { "Busy", false }, { "Sequence", 0 }, { "QueueDepth", 0 }, { "RunningRequests", 0 }, { "KvUsed", 0 },
            { "KvTotal", 372000 }, { "Handles", 0 }, { "group", { { "Name", "g0-0" }, { "epoch", 1 }, { "rank", rank_ }, { "State", "open" } } }, { "size", rankCount },
            { "step", step() }, { "Map", 0 }, { "pace", 1.0 }, { "born", 1 } };
    }

    // Map 0 assigns experts in turn.
    Json lists() const
    {
        std::vector<int> experts;
        for (int expert = rank_; expert < expertsPerSet; expert += rankCount)
            experts.push_back(expert);
        return { { "Map", { { "Version", 0 }, { "Experts", std::vector<std::vector<int>>(expertSets, experts) } } }, { "born", 1 } };
    }

    int rank_;
    Record& record_;
    std::atomic<bool> isTroubled_ { false };
    Listener listener_;
};

// A machine with a rank agent that the platform restarts when it has ended.
struct Machine {
    std::string name;
    std::string settings;
    std::string log;
    std::unique_ptr<Process> agent;
    std::int64_t endedAt { 0 };
    int ends { 0 };
};

int runCase(const std::string& recordPath)
{
    bool hasTrouble = environmentOr("TROUBLE", "1") != "0";
    // Threads of the stand-ins use these objects until the process ends.
    Record& record = *new Record(recordPath);
    Folder folder;
    int base = freePorts(24);
    Address storeAddress { "127.0.0.2", base + 10 };
    Store& store = *new Store(storeAddress, record);
    Json routes = Json::array({ route("crew-brief", "/lohu930/", "redator", "streaming", 8000, 400, 2) });
    Json engine = { { "Slots", 12 }, { "Sets", expertSets }, { "Experts", expertsPerSet }, { "Placements", expertsPerSet / rankCount + 2 }, { "Spare", 2 } };
    Json services = Json::array({ { { "Name", "redator" }, { "HealthPath", "/health" }, { "MaxConnections", 258 }, { "Slots", 12 }, { "Engine", engine } } });
    store.put("op", "config", configuration(3, routes, services).dump());

    const char* zones[] = { "sul-a", "sul-b", "sul-c" };
    auto& engines = *new std::vector<std::unique_ptr<RankEngine>>;
    std::vector<Machine> machines;
    for (int rank = 0; rank < rankCount; ++rank) {
        std::string ip = "127.0.0." + std::to_string(10 + rank);
        Address engineAddress { ip, base + 11 };
        engines.push_back(std::make_unique<RankEngine>(engineAddress, rank, record));
        Machine machine;
        machine.name = "side-" + std::string(zones[rank % 3]) + "-" + std::to_string(rank + 1);
        machine.settings = folder / (machine.name + ".conf");
        machine.log = folder / (machine.name + ".log");
        std::ofstream file(machine.settings);
        file << "NodeName=" << machine.name << "\nRole=rank-agent\nMachineClass=side\nServes=side\nIp=" << ip << "\nZone=" << zones[rank % 3] << "\nRegion=sul\nService=redator\napp="
             << engineAddress.text() << "\nInternalPorts=" << base + 3 << "," << base + 8 << "\nSeedNodes=\nBootstrap=true\nLimits.CpuShare=0.15\nLimits.MemoryMb=128\nLimits.MaxFds=2048\n"
             << "Limits.LinkMbps=20\nPlatform.Address=" << storeAddress.text() << "\nPlatform.form=table\n";
        file.close();
        machines.push_back(std::move(machine));
    }
    auto start = [&record](Machine& machine) {
        record.line("%s: agent is started", machine.name.c_str());
        machine.agent = std::make_unique<Process>(commandOf("rank-agent"), machine.settings, machine.log);
        machine.endedAt = 0;
    };
    for (Machine& machine : machines)
        start(machine);

    std::int64_t begin = nowMs();
    bool isTroubled = false;
    while (nowMs() < begin + soundMs + troubleMs) {
        sleepMs(20);
        if (hasTrouble && !isTroubled && nowMs() >= begin + soundMs) {
            isTroubled = true;
            for (int i = 0; i < troubledEngines; ++i)
                engines[static_cast<std::size_t>(i)]->setTroubled(true);
        }
        for (Machine& machine : machines) {
            if (machine.endedAt == 0 && !machine.agent->isRunning()) {
                machine.endedAt = nowMs();
                ++machine.ends;
                record.line("%s: agent has ended by itself with %s", machine.name.c_str(), machine.agent->ending().c_str());
            }
            if (machine.endedAt != 0 && nowMs() >= machine.endedAt + restartMs)
                start(machine);
        }
    }
    int brokenMachines = 0;
    std::string summary;
    for (const Machine& machine : machines) {
        brokenMachines += machine.ends >= endsPerMachine ? 1 : 0;
        summary += " " + machine.name + " " + std::to_string(machine.ends);
    }
    record.line("ends by itself:%s", summary.c_str());
    std::printf("ends by itself:%s\n", summary.c_str());
    return brokenMachines >= machinesToBreak ? 1 : 0;
}

}

int main(int argumentCount, char** arguments)
{
    int status = runCase(argumentCount > 1 ? arguments[1] : "record.txt");
    std::fflush(stdout);
    // Threads of the stand-ins may still run.
    _exit(status);
}

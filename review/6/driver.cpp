// Case 6: a prompt part that crashes engines, behind the first 64 parts of the prompt.

#include "../Kit-2.h"

using namespace Kit;

namespace {

constexpr int engineCount = 8;
constexpr int gatewayCount = 2;
constexpr int slots = 12;
constexpr double contactSeconds = 3;
constexpr double engineRestartSeconds = 3;
constexpr double runSeconds = 45;
constexpr int allowedLateRequests = 3;
const std::string crashingPart = "c0ffee01";

struct Shared {
    Record record;
    std::mutex mutex;
    bool isTroubleOn;
    std::vector<double> crashes;
    // Requests with the part that have reached an engine.
    std::vector<double> arrivals;
    std::map<std::string, int> answers;
    // When each sound request was sent, and whether an engine began it.
    std::vector<std::pair<double, bool>> soundRequests;

    // Returns the time of the fifth crash, or of the last one if there were fewer.
    double judgedCrash() const
    {
        return crashes.empty() ? 1e9 : crashes[std::min<std::size_t>(crashes.size(), 5) - 1];
    }
};

struct Share {
    int begun { 0 };
    int sent { 0 };

    double value() const { return sent == 0 ? 0 : static_cast<double>(begun) / sent; }
    std::string text() const { return std::to_string(begun) + " of " + std::to_string(sent); }
};

Share soundShare(const Shared& shared, double from, double until)
{
    Share share;
    for (const auto& [sentAt, hasBegun] : shared.soundRequests) {
        if (sentAt < from || sentAt >= until)
            continue;
        ++share.sent;
        share.begun += hasBegun ? 1 : 0;
    }
    return share;
}

bool hasCrashingPart(const std::string& prefix)
{
    std::size_t at = prefix.find(crashingPart);
    return at != std::string::npos && prefix.find(',', at) != std::string::npos;
}

class Engine {
public:
    Engine(Shared& shared, Store& store, int index, const std::string& ip, int port)
        : shared_(shared)
        , store_(store)
        , id_("i-engine-" + std::to_string(index))
        , ip_(ip)
        , port_(port)
        , server_(ip, port, [this](int descriptor) { serve(descriptor); })
    {
        start();
    }

    void beat()
    {
        if (isUp_)
            store_.put("servers", id_, serverEntry("llm", ip_, port_, slots, born_, ++sequence_));
    }

private:
    void start()
    {
        born_ = unixMilliseconds();
        if (!server_.open())
            std::exit(2);
        isUp_ = true;
        beat();
    }

    void crash(const std::string& requestId)
    {
        if (!isUp_.exchange(false))
            return;
        server_.crash();
        {
            std::lock_guard<std::mutex> lock(shared_.mutex);
            shared_.crashes.push_back(now());
            shared_.record.write("crash " + std::to_string(shared_.crashes.size()) + ": " + id_ + " ends as it begins to write the answer to " + requestId);
        }
        std::thread([this] {
            sleepFor(engineRestartSeconds);
            start();
        }).detach();
    }

    void serve(int descriptor)
    {
        Reader reader(descriptor);
        Message request;
        while (reader.readHead(request, now() + 100) && reader.readBody(request, now() + 5)) {
            std::string requestId = request.header("x-damaskgrade-request-id");
            std::string idHeader = "X-Damaskgrade-Request-Id: " + requestId + "\r\n";
            if (request.header("x-damaskgrade-expect-instance") != id_) {
                if (!sendAll(descriptor, "HTTP/1.1 421 Misdirected\r\n" + idHeader + "Content-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            bool isBad = hasCrashingPart(request.header("x-damaskgrade-prompt-prefix"));
            if (isBad) {
                std::lock_guard<std::mutex> lock(shared_.mutex);
                shared_.arrivals.push_back(now());
                shared_.record.write("request " + requestId + " with the part reaches " + id_);
            }
            // The prompt is read.
            sleepFor(0.03);
            std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + idHeader + "X-Damaskgrade-Response-Signature: " + id_ + "." + requestId + "\r\nTransfer-Encoding: chunked\r\n\r\n";
            if (!sendAll(descriptor, head))
                return;
            if (isBad && shared_.isTroubleOn) {
                crash(requestId);
                return;
            }
            for (int i = 1; i <= 28; ++i) {
                std::string event = "id: " + std::to_string(i) + "\ndata: some tokens\n\n";
                char size[16];
                std::snprintf(size, sizeof size, "%zx\r\n", event.size());
                if (!sendAll(descriptor, size + event + "\r\n"))
                    return;
                sleepFor(0.02);
            }
            if (!sendAll(descriptor, "0\r\n\r\n"))
                return;
        }
    }

    Shared& shared_;
    Store& store_;
    std::string id_;
    std::string ip_;
    int port_;
    std::atomic<bool> isUp_ { false };
    std::int64_t born_ { 0 };
    std::atomic<std::uint64_t> sequence_ { 0 };
    Server server_;
};

// The parts of a prompt: one that all prompts of the caller share, those of the session, with the crashing one behind them, and
// the request's own.
std::string promptOf(int sessionParts, bool isBad, int session, int number)
{
    std::string text = "5c1e07a2:40,";
    for (int i = 0; i < sessionParts; ++i) {
        char part[32];
        std::snprintf(part, sizeof part, "%x:40,", 0xa0000 + session * 0x1000 + i);
        text += part;
    }
    if (isBad)
        text += crashingPart + ":40,";
    char last[32];
    std::snprintf(last, sizeof last, "%x:60", 0x5000000 + number);
    return text + last;
}

void sendRequest(Shared& shared, const GatewayAddress& gateway, int sessionParts, bool isBad, int session, int number)
{
    std::string requestId = (isBad ? "bad" : "sound") + std::to_string(number);
    double sentAt = now();
    int descriptor = connectTo(gateway.ip, gateway.callers, 1);
    std::string result = "no connection";
    if (descriptor >= 0) {
        sendAll(descriptor, "POST /gen/" + std::to_string(number) + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-1\r\nX-Damaskgrade-Request-Id: " + requestId
                + "\r\nX-Damaskgrade-Deadline-Ms: 8000\r\nX-Damaskgrade-Model: m\r\nX-Damaskgrade-Token-Usage: 3000,140\r\nX-Damaskgrade-Prompt-Prefix: " + promptOf(sessionParts, isBad, session, number)
                + "\r\nContent-Length: 5\r\n\r\nhello");
        Reader reader(descriptor);
        Message answer;
        bool hasHead = reader.readHead(answer, now() + 8.5);
        bool isWhole = hasHead && reader.readBody(answer, sentAt + 8.5);
        result = !hasHead ? "no answer" : std::to_string(answer.status()) + (isWhole ? "" : " broken off");
        close(descriptor);
    }
    std::lock_guard<std::mutex> lock(shared.mutex);
    ++shared.answers[std::string(isBad ? "with the part: " : "sound: ") + result];
    if (!isBad)
        shared.soundRequests.emplace_back(sentAt, result.substr(0, 3) == "200");
    shared.record.write("client: " + requestId + " sent at " + std::to_string(sentAt) + " to " + gateway.ip + ", answer " + result);
}

}

int main(int argumentCount, char** arguments)
{
    if (argumentCount < 4)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    endProcessesOnSignal();
    const char* partsText = std::getenv("PARTS");
    // The prompts have three more parts: the one that all share, the crashing one and their own.
    int sessionParts = partsText ? std::atoi(partsText) : 65;
    const char* sessionsText = std::getenv("SESSIONS");
    int sessions = sessionsText ? std::atoi(sessionsText) : 40;
    Shared shared { Record(arguments[3]), {}, isTroubleOn(), {}, {}, {}, {} };
    Deployment deployment(arguments[2], arguments[1]);
    Store& store = deployment.store();
    store.put("op", "config",
        Json { { "Version", 7 },
            { "Routes", { { { "Name", "gen" }, { "Host", "a.example" }, { "Prefix", "/gen/" }, { "Kind", "streaming" }, { "TimeoutMs", 8000 }, { "TargetLatencyMs", 400 }, { "TargetGapMs", 120 }, { "Priority", 1 }, { "Service", "llm" }, { "MaxAttempts", 2 }, { "Public", false }, { "StickySessions", true }, { "StreamResume", true } } } },
            { "Services", { { { "Name", "llm" }, { "HealthPath", "/health" }, { "MaxConnections", 408 } } } },
            { "Limits", { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 4194304 }, { "HeaderTimeoutMs", 3000 }, { "IdleTimeoutMs", 15000 } } },
            { "Tenants", { { { "Name", "tenant-1" }, { "ApiKeys", { "key-1" } } } } } }
            .dump());
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < engineCount; ++i) {
        std::string ip = loopback(100 + i);
        engines.push_back(std::make_unique<Engine>(shared, store, i, ip, freePort(ip)));
    }
    std::atomic<bool> isEnding { false };
    std::thread beats([&] {
        while (!isEnding) {
            for (std::unique_ptr<Engine>& engine : engines)
                engine->beat();
            sleepFor(1.2);
        }
    });
    std::vector<std::unique_ptr<Process>> gateways;
    for (int i = 0; i < gatewayCount; ++i)
        gateways.push_back(deployment.startGateway(i));
    int result = 2;
    bool areReady = true;
    for (int i = 0; i < gatewayCount; ++i)
        areReady = areReady && deployment.awaitReady(i);
    if (areReady) {
        sleepFor(2);
        double begin = now();
        std::vector<std::thread> clients;
        std::mt19937 random(1);
        int number = 0;
        // 8 sound requests a second, of 40 sessions. From 5 s on, a request with the part each second.
        while (now() < begin + runSeconds) {
            ++number;
            bool isBad = number % 9 == 0;
            int session = static_cast<int>(random() % static_cast<unsigned>(sessions));
            GatewayAddress gateway = deployment.gatewayAddress(static_cast<int>(random() % gatewayCount));
            if (!isBad || now() > begin + 5)
                clients.emplace_back([&shared, gateway, sessionParts, isBad, session, number] { sendRequest(shared, gateway, sessionParts, isBad, session, number); });
            sleepUntil(begin + number / 9.0);
        }
        for (std::thread& client : clients)
            client.join();
        bool areRunning = true;
        for (std::unique_ptr<Process>& gateway : gateways)
            areRunning = areRunning && gateway->isRunning();
        std::lock_guard<std::mutex> lock(shared.mutex);
        double crashAt = shared.judgedCrash();
        int late = 0;
        for (double arrival : shared.arrivals)
            late += shared.crashes.size() >= 5 && arrival > crashAt + contactSeconds ? 1 : 0;
        // Requests with the part come until the end of the run.
        Share before = soundShare(shared, begin, begin + 5);
        Share after = soundShare(shared, shared.crashes.empty() ? begin + 5 : crashAt + 2 * contactSeconds, 1e9);
        for (const auto& [text, count] : shared.answers)
            shared.record.write("answers, " + text + ": " + std::to_string(count));
        shared.record.write("parts of a prompt with the crashing one: " + std::to_string(sessionParts + 3) + ", crashes: " + std::to_string(shared.crashes.size()));
        shared.record.write("BUDGET: requests with the part that reached engines: " + std::to_string(shared.arrivals.size()) + ", of these later than ContactMs after the fifth crash: " + std::to_string(late)
            + " (allowed: " + std::to_string(allowedLateRequests) + ")");
        shared.record.write("LOST: sound requests of the same key and the same first part that began: " + before.text() + " before the first request with the part, " + after.text()
            + (shared.crashes.empty() ? " after it" : " from 2 x ContactMs after crash " + std::to_string(std::min<std::size_t>(shared.crashes.size(), 5))));
        bool canJudge = areRunning && before.sent >= 20 && before.begun > 0;
        bool isLostBroken = after.sent >= 20 && after.value() < before.value() / 2;
        bool isBroken = late > allowedLateRequests || isLostBroken;
        result = !canJudge ? 2 : isBroken ? 1 : 0;
        shared.record.write(std::string("result: ") + (result == 1 ? "broken" : result == 0 ? "held" : "not judged"));
    }
    isEnding = true;
    for (std::unique_ptr<Process>& gateway : gateways)
        gateway->end();
    beats.join();
    // Threads of stand-ins may still run.
    std::_Exit(result);
}

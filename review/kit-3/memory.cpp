// Many clients send large requests at once to the one gateway that is left. The platform ends a process that exceeds its memory.
#include "Kit.h"

using namespace Kit;

namespace {

// Within the 98 clients of the site file times the 1.7 of its burst.
constexpr int largeClients = 130;
constexpr int usualClients = 20;
// The largest body that the configuration allows.
constexpr std::size_t bodyBytes = 4194304;
constexpr std::size_t chunkBytes = 65536;
// The bodies arrive no faster than the link of the machine allows (1,500 Mbit/s).
constexpr double linkBytesPerSecond = 187.5e6;
constexpr std::size_t memoryLimit = std::size_t { 390 } << 20U;

}

int main(int, char** arguments)
{
    record.open(std::string(arguments[1]) + "/record.txt");
    Store store("127.63.0.1");
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 1; i <= 3; ++i)
        engines.push_back(std::make_unique<Engine>(store, "127.63.1." + std::to_string(i), "i-" + std::to_string(i), "app", 6, 0.03));
    putConfiguration(store, { makeRoute("book", "/book/", "app", "non_idempotent", 1, 8000) }, "app");
    Gateway gateway(store, "127.63.2.1", "edge-a-1");

    std::atomic<bool> isOver { false };
    std::atomic<bool> wasKilled { false };
    std::size_t peak = 0;
    std::thread platform([&] {
        while (!isOver) {
            std::size_t bytes = gateway.residentBytes();
            peak = std::max(peak, bytes);
            if (bytes > memoryLimit) {
                record.write("the platform kills the gateway: " + std::to_string(bytes >> 20U) + " MB are over its limit of 390 MB");
                ::kill(gateway.process(), SIGKILL);
                wasKilled = true;
                return;
            }
            sleepFor(0.005);
        }
    });

    // Outcomes of the requests on connections that have carried one before.
    std::mutex mutex;
    std::map<std::string, std::string> outcomes;
    auto note = [&](const std::string& id, bool isAnswered, const Message& answer, const Reader& reader) {
        std::lock_guard<std::mutex> lock(mutex);
        outcomes[id] = isAnswered ? answer.start : reader.error();
        record.write(id + ": " + outcomes[id]);
    };
    std::vector<std::thread> usual;
    for (int i = 0; i < usualClients; ++i) {
        usual.emplace_back([&, i] {
            int socket = connectTo(gateway.callers(), 10);
            Reader reader(socket);
            Message answer;
            for (int n = 0; !isOver; ++n) {
                std::string id = "usual-" + std::to_string(i) + "-" + std::to_string(n);
                bool isAnswered = sendAll(socket, requestHead("POST", "/book/x", id, 8000) + "Content-Length: 2\r\n\r\nhi") && reader.read(answer, true);
                if (n > 0)
                    note(id, isAnswered, answer, reader);
                if (!isAnswered)
                    break;
                sleepFor(0.02);
            }
            ::close(socket);
        });
    }
    sleepFor(1);

    std::mutex turn;
    std::string chunk = "10000\r\n" + std::string(chunkBytes, 'x') + "\r\n";
    double sendSeconds = (hasTrouble() ? largeClients : 1) * static_cast<double>(bodyBytes) / linkBytesPerSecond;
    std::vector<std::thread> large;
    for (int i = 0; i < largeClients; ++i) {
        large.emplace_back([&, i] {
            // Without the trouble, the clients come one after the other.
            std::unique_lock<std::mutex> lock(turn, std::defer_lock);
            if (!hasTrouble())
                lock.lock();
            std::string id = "large-" + std::to_string(i);
            int socket = connectTo(gateway.callers(), 10);
            Reader reader(socket);
            Message answer;
            bool isSent = sendAll(socket, requestHead("POST", "/book/x", "first-of-" + id, 8000) + "Content-Length: 2\r\n\r\nhi") && reader.read(answer, true)
                && sendAll(socket, requestHead("POST", "/book/x", id, 8000) + "Transfer-Encoding: chunked\r\n\r\n");
            for (std::size_t sent = 0; isSent && sent < bodyBytes; sent += chunkBytes) {
                isSent = sendAll(socket, chunk);
                sleepFor(sendSeconds * chunkBytes / bodyBytes);
            }
            note(id, isSent && sendAll(socket, "0\r\n\r\n") && reader.read(answer, true), answer, reader);
            ::close(socket);
        });
    }
    for (std::thread& client : large)
        client.join();
    isOver = true;
    for (std::thread& client : usual)
        client.join();
    platform.join();

    int lost = 0;
    for (const auto& [id, outcome] : outcomes) {
        bool hasRun = std::any_of(engines.begin(), engines.end(), [&id = id](const std::unique_ptr<Engine>& engine) { return engine->runs().count(id) != 0; });
        if (!hasRun || outcome.rfind("HTTP/", 0) == 0)
            continue;
        ++lost;
        record.write(id + " has run, and its connection ended without an answer");
    }
    int code = verdict(wasKilled && lost > 3, std::string(wasKilled ? "the gateway exceeded its memory; " : "the gateway kept to its memory; ") + std::to_string(lost)
            + " requests on kept connections were passed on to a sound engine and got no answer; most memory " + std::to_string(peak >> 20U) + " MB");
    gateway.end();
    std::_Exit(code);
}

// The operator takes the last tenant, and with it the last key, out of the configuration. Callers come with keys that no
// configuration has ever held.
#include "../Kit-3.h"

using namespace Kit;

namespace {

constexpr double settleSeconds = 4;

std::string withKey(std::string head, const std::string& key)
{
    std::size_t at = head.find(callerKey);
    return head.replace(at, std::strlen(callerKey), key);
}

}

int main(int, char** arguments)
{
    record.open(std::string(arguments[1]) + "/record.txt");
    Store store("127.68.0.1");
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 1; i <= 3; ++i)
        engines.push_back(std::make_unique<Engine>(store, "127.68.1." + std::to_string(i), "i-" + std::to_string(i), "app", 6, 0.03));
    std::vector<Json> routes { makeRoute("book", "/book/", "app", "non_idempotent", 1, 800) };
    putConfiguration(store, routes, "app");
    Gateway gateway(store, "127.68.2.1", "edge-a-1");

    auto ask = [&](const std::string& id, const std::string& key) {
        int socket = connectTo(gateway.callers(), 3);
        Reader reader(socket);
        Message answer;
        bool isRead = sendAll(socket, withKey(requestHead("POST", "/book/x", id, 1500), key) + "Content-Length: 2\r\n\r\nhi") && reader.read(answer, true);
        record.write("request " + id + " with the key " + key + " gets " + (isRead ? answer.start : reader.error()));
        ::close(socket);
    };
    ask("before-1", callerKey);
    ask("before-2", "never-a-key-of-anyone");
    Json tenants = hasTrouble() ? Json::array() : Json::array({ Json { { "Name", callerTenant }, { "ApiKeys", Json::array() } } });
    record.write("the operator writes version 7 with the tenants " + tenants.dump() + "; the store has acknowledged it");
    putConfiguration(store, routes, "app", tenants, 7);
    sleepFor(settleSeconds);
    for (int i = 1; i <= 5; ++i)
        ask("never-" + std::to_string(i), "never-a-key-of-anyone");
    for (int i = 1; i <= 5; ++i)
        ask("withdrawn-" + std::to_string(i), callerKey);

    int never = 0;
    int withdrawn = 0;
    for (const std::unique_ptr<Engine>& engine : engines) {
        for (const auto& [id, count] : engine->runs()) {
            never += id.rfind("never-", 0) == 0 ? count : 0;
            withdrawn += id.rfind("withdrawn-", 0) == 0 ? count : 0;
        }
    }
    int code = verdict(never + withdrawn > 0, std::to_string(never) + " of 5 requests with a key that no configuration held were run, and " + std::to_string(withdrawn) + " of 5 with a key that was taken away 4 s before");
    gateway.end();
    std::_Exit(code);
}

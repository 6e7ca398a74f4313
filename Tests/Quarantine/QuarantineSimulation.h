#pragma once

#include "Core/ManualClock.h"
#include "Core/Random.h"
#include "Quarantine/PromptQuarantine.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Damaskgrade {

// Entries that send requests to one lock-step group of servers and exchange their reports as the gateways do. A server that
// begins a response to a prompt with a crashing part ends, and the group refuses all requests until it has formed again.
class QuarantineSimulation {
public:
    QuarantineSimulation(std::size_t entryCount, std::uint64_t seed);

    // Sends a request from a random entry or from the given one.
    void request(std::vector<PromptPart> parts);
    void requestAt(std::size_t entry, std::vector<PromptPart> parts);

    void run(std::chrono::milliseconds time);

    // Runs with random requests: shared first parts and, in some requests, one of the crashing parts.
    void runTraffic(std::chrono::milliseconds time, double requestsPerSecond, double crashingShare);

    // Ends one server for a reason that has nothing to do with its requests.
    void crashServer();

    void restartEntry(std::size_t entry);
    // An entry that can't be reached knows so, but goes on sending requests.
    void setReachable(std::size_t entry, bool isReachable);
    bool isSuspectEverywhere(PromptPart part) const;
    bool isSuspectAnywhere(PromptPart part) const;

    std::set<PromptPart> crashingParts;
    // Returns the parts of a request before the crashing one. By default one of a few parts that all requests share.
    std::function<std::vector<PromptPart>(Random&)> makeParts;
    // Servers that each crashing part has ended.
    std::map<PromptPart, std::size_t> crashesOfPart;
    std::size_t crashes { 0 };
    std::size_t soundRequests { 0 };
    std::size_t soundResponses { 0 };
    std::size_t soundRefusedByQuarantine { 0 };
    ManualClock clock;

private:
    struct Entry {
        std::unique_ptr<PromptQuarantine> quarantine;
        bool isReachable { true };
        bool hasNews { false };
        Duration phase { 0 };
    };

    struct Request {
        std::size_t entry { 0 };
        std::uint64_t number { 0 };
        std::vector<PromptPart> parts;
        std::size_t server { 0 };
        TimePoint arrivedAt;
        TimePoint sentAt;
        TimePoint beginsAt;
        bool isSent { false };
    };

    struct Message {
        TimePoint arrivesAt;
        std::size_t to { 0 };
        std::vector<SuspectReport> reports;
    };

    void step();
    void sendState(std::size_t entry);
    void trySend(Request& request);
    void begin(Request& request);
    void endServer(std::size_t server);
    bool isCrashing(const std::vector<PromptPart>& parts) const;
    void startEntry(std::size_t entry);

    Random random_;
    std::vector<Entry> entries_;
    std::deque<Message> messages_;
    std::vector<Request> requests_;
    std::uint64_t lastNumber_ { 0 };
    TimePoint groupUpAt_;
};

}

#pragma once

#include "Core/Clock.h"
#include "Fleet/ServerRecord.h"
#include "Forwarding/UpstreamPool.h"
#include "Quarantine/PromptQuarantine.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Damaskgrade {

struct CrashDetectorSettings {
    // A server that accepts no connection within this time counts as crashed.
    std::chrono::milliseconds connectTimeout { 250 };
    // A server may still begin a request for this long after its caller has left.
    std::chrono::milliseconds abandonedTime { 2000 };
    std::size_t maxAbandonedPerServer { 64 };
    // Parts of the prompts of all these requests of a server, 32 KiB. One request may have more.
    std::size_t maxAbandonedParts { 4096 };
};

// Determines whether a server has crashed, and reports the prompts that may be the cause to the quarantine. A crashed
// process accepts no connection until it has been restarted, which takes seconds; a server that only dropped a connection
// still accepts others. If no other server accepts a connection either, this entry is cut off, and nothing is known of the
// servers.
class CrashDetector {
public:
    // Returns a server that is expected to accept connections and is not one of the given ones, if there is any.
    using SelectWitness = std::function<std::optional<ServerRecord>(const std::set<std::string>& excludedIds)>;

    // Without a witness, this entry counts as cut off if several servers accept no connection at the same time.
    CrashDetector(const Clock& clock, PromptQuarantine& quarantine, UpstreamPool::Factory factory, CrashDetectorSettings settings, SelectWitness selectWitness = nullptr);

    // Records that the connection to the server broke that a request with prompt parts used, and checks whether the server has
    // crashed. Calls done after the quarantine has learned of a crash, within the time-outs of the check and of the witness
    // if no other server is checked meanwhile. Checks of the same server at the same time share a connection.
    void connectionBroke(const ServerRecord& server, CrashCandidate candidate, std::function<void()> done);

    // Records that a request was ended by its caller or by this entry before the response to it.
    void requestAbandoned(const std::string& serverId, CrashCandidate candidate);

    // Records that the server did not accept a connection.
    void connectionFailed(const std::string& serverId);

    // Returns whether a crash of the server would make a request suspect that has ended already.
    bool hasAbandoned(const std::string& serverId) const { return abandoned_.count(serverId) != 0; }

    // Drops requests that have ended too long ago. Call about once a second.
    void removeExpired();

private:
    struct Abandoned {
        CrashCandidate candidate;
        TimePoint endedAt;
    };

    struct Check {
        std::vector<CrashCandidate> candidates;
        std::vector<std::function<void()>> waiting;
    };

    void connect(const Endpoint& address, std::function<void(bool isOpen)> done);
    void finishCheck(const std::string& serverId, bool isOpen);
    void addUnreachable(const std::string& serverId, Check check);
    void decide();
    void finishUnreachable(bool haveCrashed);
    std::vector<CrashCandidate> takeAbandoned(const std::string& serverId);

    const Clock& clock_;
    PromptQuarantine& quarantine_;
    UpstreamPool::Factory factory_;
    CrashDetectorSettings settings_;
    SelectWitness selectWitness_;
    std::map<std::string, Check> checks_;
    // Servers that have accepted no connection, until it is known whether this entry is cut off.
    std::map<std::string, Check> unreachable_;
    bool isWitnessPending_ { false };
    std::map<std::string, std::vector<Abandoned>> abandoned_;
};

}

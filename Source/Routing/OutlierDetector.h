#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

struct OutlierSettings {
    std::size_t consecutiveFailures { 5 };
    // Calls in one judging interval before a server is compared with its peers.
    std::size_t minimumCalls { 10 };
    std::size_t minimumPeers { 3 };
    // A server is ejected if its success rate is this far below the median of its peers.
    double successRateGap { 0.25 };
    // A server is ejected if its time to first token is this many times the median of its peers.
    double slownessFactor { 4.0 };
    Duration evaluationInterval { std::chrono::seconds(2) };
    // The n-th ejection in a row lasts n times as long, up to the maximum.
    Duration baseEjection { std::chrono::seconds(5) };
    Duration maximumEjection { std::chrono::seconds(60) };
    // Panic threshold: beyond this share more ejections would overload the rest.
    double maximumEjectedShare { 0.5 };
    // A returning server gets its full share of calls after this time.
    Duration rampUpTime { std::chrono::seconds(10) };
    double initialShare { 0.1 };
};

// Ejects backend servers that fail or are slow compared with their peers, and lets them return gradually.
// Peers are the servers added with the same peer class, that is, the same model or service.
class OutlierDetector {
public:
    OutlierDetector(const Clock& clock, OutlierSettings settings);

    // Changes the settings from now on; servers that are ejected stay so for their time.
    void configure(OutlierSettings settings) { settings_ = settings; }

    // The first servers of a class get their full share at once. A server that is added again
    // after removal, or later than others, returns gradually.
    void add(std::string_view server, std::string_view peerClass);
    void remove(std::string_view server);

    void callSucceeded(std::string_view server, Duration timeToFirstToken);
    // A failure of the server, not a refusal for lack of capacity.
    void callFailed(std::string_view server);
    // Compares the servers and ends ejections. Call at least once in each judging interval.
    void evaluate();

    bool isEjected(std::string_view server) const;
    // Returns the share of calls that the server should get: 0 if ejected, rising to 1 after its return.
    double admissionShare(std::string_view server) const;
    std::size_t ejectedCount() const;
    // Counts ejections that the panic threshold prevented.
    std::uint64_t preventedCount() const { return preventedCount_; }

private:
    struct ServerState {
        std::string peerClass;
        bool isPresent { true };
        std::size_t failuresInRow { 0 };
        std::size_t calls { 0 };
        std::size_t failures { 0 };
        Duration totalTimeToFirstToken { 0 };
        bool isEjected { false };
        TimePoint ejectedUntil;
        std::size_t ejectionsInRow { 0 };
        bool isReturning { false };
        TimePoint returnedAt;
    };

    ServerState* find(std::string_view server);
    void eject(ServerState& state);
    bool canEject(const ServerState& state) const;
    void endEjections();
    void compareWithPeers(const std::string& peerClass);
    double rampShare(const ServerState& state) const;

    const Clock& clock_;
    OutlierSettings settings_;
    TimePoint evaluatedAt_;
    std::uint64_t preventedCount_ { 0 };
    std::map<std::string, ServerState, std::less<>> servers_;
    // When the first server of each class was added.
    std::map<std::string, TimePoint, std::less<>> classes_;
};

}

#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

struct OutlierSettings {
    std::size_t consecutiveFailures { 5 };
    // Minimum number of calls since the last comparison or ejection of a server before it is compared with its peers.
    std::size_t minimumCalls { 10 };
    std::size_t minimumPeers { 3 };
    // A server is ejected if its success rate is more than this below the median of its peer class.
    double successRateGap { 0.25 };
    // A server is ejected if its time to first token is more than this many times the median of its peer class.
    double slownessFactor { 4.0 };
    Duration evaluationInterval { std::chrono::seconds(2) };
    // Duration of the first ejection. The n-th ejection in a row lasts n times as long, up to the maximum.
    Duration baseEjection { std::chrono::seconds(5) };
    Duration maximumEjection { std::chrono::seconds(60) };
    // Panic threshold: no server is ejected if this would raise the ejected share of its peer class above this value,
    // because the remaining servers would be overloaded.
    double maximumEjectedShare { 0.5 };
    // A returning server gets its full share of calls after this time.
    Duration rampUpTime { std::chrono::seconds(10) };
    double initialShare { 0.1 };
};

// Ejects backend servers that fail or are slow compared with their peers, and re-admits them gradually.
// Servers are peers if they were added with the same peer class, that is, the same model or service.
class OutlierDetector {
public:
    OutlierDetector(const Clock& clock, OutlierSettings settings);

    // Replaces the settings. Current ejections keep their end time.
    void configure(OutlierSettings settings) { settings_ = settings; }

    // The first servers of a class get their full share of calls at once. The share of a server that is added again
    // after its removal, or later than the first ones, rises gradually.
    void add(std::string_view server, std::string_view peerClass);
    void remove(std::string_view server);

    void callSucceeded(std::string_view server, Duration timeToFirstToken);
    // Records a failure of the server. A refusal for lack of capacity is not a failure.
    void callFailed(std::string_view server);
    // Compares the servers and ends ejections that are over. Call at least once in each evaluation interval.
    void evaluate();

    bool isEjected(std::string_view server) const;
    // Returns the fraction of its normal share of calls that the server should get: 0 while it is ejected, then rising
    // to 1.
    double admissionShare(std::string_view server) const;
    std::size_t ejectedCount() const;
    // Returns the number of ejections that the panic threshold prevented.
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

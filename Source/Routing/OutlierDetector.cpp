#include "Routing/OutlierDetector.h"

#include <algorithm>
#include <vector>

namespace Damaskgrade {

namespace {

// Servers that connect within this time after the first one of their class get their full share at once.
constexpr Duration initialConnectTime = std::chrono::seconds(2);

// Number of servers above which removed servers are no longer kept. The history of a removed server is kept so that
// a flapping server does not start with a clean record.
constexpr std::size_t maximumServers = 4096;

double median(std::vector<double> values)
{
    std::vector<double>::iterator middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}

OutlierDetector::OutlierDetector(const Clock& clock, OutlierSettings settings)
    : clock_(clock)
    , settings_(settings)
    , evaluatedAt_(clock.now())
{
}

void OutlierDetector::add(std::string_view server, std::string_view peerClass)
{
    TimePoint now = clock_.now();
    TimePoint classSince = classes_.emplace(peerClass, now).first->second;
    ServerState& state = servers_[std::string(server)];
    bool isKnown = !state.peerClass.empty();
    bool isLate = now - classSince > initialConnectTime;
    state.peerClass = std::string(peerClass);
    state.isPresent = true;
    if (isKnown || isLate) {
        state.isReturning = true;
        state.returnedAt = now;
    }
}

void OutlierDetector::remove(std::string_view server)
{
    ServerState* state = find(server);
    if (!state)
        return;
    state->isPresent = false;
    if (servers_.size() > maximumServers)
        servers_.erase(servers_.find(server));
}

void OutlierDetector::callSucceeded(std::string_view server, Duration timeToFirstToken)
{
    ServerState* state = find(server);
    if (!state)
        return;
    state->failuresInRow = 0;
    ++state->calls;
    state->totalTimeToFirstToken += timeToFirstToken;
}

void OutlierDetector::callFailed(std::string_view server)
{
    ServerState* state = find(server);
    if (!state)
        return;
    ++state->calls;
    ++state->failures;
    ++state->failuresInRow;
    if (state->failuresInRow >= settings_.consecutiveFailures)
        eject(*state);
}

void OutlierDetector::evaluate()
{
    endEjections();
    if (clock_.now() - evaluatedAt_ < settings_.evaluationInterval)
        return;
    evaluatedAt_ = clock_.now();
    for (const auto& [peerClass, since] : classes_)
        compareWithPeers(peerClass);
}

bool OutlierDetector::isEjected(std::string_view server) const
{
    return admissionShare(server) == 0;
}

double OutlierDetector::admissionShare(std::string_view server) const
{
    std::map<std::string, ServerState, std::less<>>::const_iterator found = servers_.find(server);
    if (found == servers_.end())
        return 1;
    if (found->second.isEjected && clock_.now() < found->second.ejectedUntil)
        return 0;
    return rampShare(found->second);
}

std::size_t OutlierDetector::ejectedCount() const
{
    std::size_t count = 0;
    for (const auto& [name, state] : servers_) {
        if (state.isPresent && state.isEjected && clock_.now() < state.ejectedUntil)
            ++count;
    }
    return count;
}

OutlierDetector::ServerState* OutlierDetector::find(std::string_view server)
{
    std::map<std::string, ServerState, std::less<>>::iterator found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second;
}

void OutlierDetector::eject(ServerState& state)
{
    if (state.isEjected)
        return;
    state.failuresInRow = 0;
    if (!canEject(state)) {
        ++preventedCount_;
        return;
    }
    ++state.ejectionsInRow;
    Duration length = std::min(settings_.maximumEjection, settings_.baseEjection * static_cast<std::int64_t>(state.ejectionsInRow));
    state.isEjected = true;
    state.ejectedUntil = clock_.now() + length;
}

bool OutlierDetector::canEject(const ServerState& state) const
{
    std::size_t present = 0;
    std::size_t ejected = 0;
    for (const auto& [name, peer] : servers_) {
        if (!peer.isPresent || peer.peerClass != state.peerClass)
            continue;
        ++present;
        if (peer.isEjected)
            ++ejected;
    }
    return static_cast<double>(ejected + 1) <= settings_.maximumEjectedShare * static_cast<double>(present);
}

void OutlierDetector::endEjections()
{
    TimePoint now = clock_.now();
    for (auto& [name, state] : servers_) {
        if (state.isEjected && now >= state.ejectedUntil) {
            state.isEjected = false;
            state.isReturning = true;
            state.returnedAt = state.ejectedUntil;
            state.calls = 0;
            state.failures = 0;
            state.totalTimeToFirstToken = Duration::zero();
        }
        // After a server has stayed in service long enough, its next ejection has the base duration again.
        bool hasRecovered = !state.isEjected && now - state.ejectedUntil > settings_.rampUpTime + settings_.maximumEjection;
        if (hasRecovered)
            state.ejectionsInRow = 0;
    }
}

void OutlierDetector::compareWithPeers(const std::string& peerClass)
{
    std::vector<ServerState*> compared;
    std::vector<double> successRates;
    std::vector<double> timesToFirstToken;
    for (auto& [name, state] : servers_) {
        bool isComparable = state.peerClass == peerClass && state.isPresent && !state.isEjected && state.calls >= settings_.minimumCalls;
        if (!isComparable)
            continue;
        compared.push_back(&state);
        successRates.push_back(1.0 - static_cast<double>(state.failures) / static_cast<double>(state.calls));
        std::size_t successes = std::max<std::size_t>(1, state.calls - state.failures);
        timesToFirstToken.push_back(std::chrono::duration<double>(state.totalTimeToFirstToken).count() / static_cast<double>(successes));
    }
    // With fewer than minimumPeers servers the counts are kept, so that a class with little traffic is
    // compared in a later interval.
    if (compared.size() < settings_.minimumPeers)
        return;
    double medianSuccessRate = median(successRates);
    double medianTimeToFirstToken = median(timesToFirstToken);
    for (std::size_t i = 0; i < compared.size(); ++i) {
        bool failsMore = successRates[i] < medianSuccessRate - settings_.successRateGap;
        bool isSlow = medianTimeToFirstToken > 0 && timesToFirstToken[i] > medianTimeToFirstToken * settings_.slownessFactor;
        if (failsMore || isSlow)
            eject(*compared[i]);
        compared[i]->calls = 0;
        compared[i]->failures = 0;
        compared[i]->totalTimeToFirstToken = Duration::zero();
    }
}

double OutlierDetector::rampShare(const ServerState& state) const
{
    TimePoint returnedAt = state.isEjected ? state.ejectedUntil : state.returnedAt;
    if (!state.isReturning && !state.isEjected)
        return 1;
    double elapsedSeconds = std::chrono::duration<double>(clock_.now() - returnedAt).count();
    double rampUpSeconds = std::chrono::duration<double>(settings_.rampUpTime).count();
    double share = settings_.initialShare + (1 - settings_.initialShare) * elapsedSeconds / rampUpSeconds;
    return std::clamp(share, settings_.initialShare, 1.0);
}

}

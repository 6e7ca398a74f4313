#include "Forwarding/CrashDetector.h"

#include <algorithm>
#include <memory>
#include <numeric>
#include <utility>

namespace Damaskgrade {

CrashDetector::CrashDetector(const Clock& clock, PromptQuarantine& quarantine, UpstreamPool::Factory factory, CrashDetectorSettings settings, SelectWitness selectWitness)
    : clock_(clock)
    , quarantine_(quarantine)
    , factory_(std::move(factory))
    , settings_(settings)
    , selectWitness_(std::move(selectWitness))
{
}

void CrashDetector::connectionBroke(const ServerRecord& server, CrashCandidate candidate, std::function<void()> done)
{
    Check& check = checks_[server.id];
    check.candidates.push_back(std::move(candidate));
    check.waiting.push_back(std::move(done));
    if (check.waiting.size() > 1)
        return;
    connect(server.address, [this, id = server.id](bool isOpen) { finishCheck(id, isOpen); });
}

void CrashDetector::connect(const Endpoint& address, std::function<void(bool isOpen)> done)
{
    std::shared_ptr<UpstreamConnection> connection = factory_();
    connection->connect(address, settings_.connectTimeout, [connection, done = std::move(done)](bool isOpen) {
        connection->close();
        done(isOpen);
    });
}

void CrashDetector::finishCheck(const std::string& serverId, bool isOpen)
{
    auto entry = checks_.find(serverId);
    Check check = std::move(entry->second);
    checks_.erase(entry);
    if (!isOpen) {
        addUnreachable(serverId, std::move(check));
        return;
    }
    // This server shows that the entry is not cut off.
    finishUnreachable(true);
    for (const std::function<void()>& done : check.waiting)
        done();
}

void CrashDetector::addUnreachable(const std::string& serverId, Check check)
{
    std::vector<CrashCandidate> abandoned = takeAbandoned(serverId);
    Check& unreachable = unreachable_[serverId];
    unreachable.candidates.insert(unreachable.candidates.end(), check.candidates.begin(), check.candidates.end());
    unreachable.candidates.insert(unreachable.candidates.end(), abandoned.begin(), abandoned.end());
    unreachable.waiting.insert(unreachable.waiting.end(), check.waiting.begin(), check.waiting.end());
    decide();
}

// The checks that are still pending may show by themselves that this entry is not cut off.
void CrashDetector::decide()
{
    if (unreachable_.empty() || !checks_.empty() || isWitnessPending_)
        return;
    std::set<std::string> ids;
    for (const auto& [id, check] : unreachable_)
        ids.insert(id);
    std::optional<ServerRecord> witness = selectWitness_ ? selectWitness_(ids) : std::nullopt;
    if (!witness) {
        finishUnreachable(unreachable_.size() == 1);
        return;
    }
    isWitnessPending_ = true;
    connect(witness->address, [this](bool isOpen) {
        isWitnessPending_ = false;
        finishUnreachable(isOpen);
    });
}

void CrashDetector::finishUnreachable(bool haveCrashed)
{
    std::map<std::string, Check> unreachable;
    std::swap(unreachable, unreachable_);
    for (const auto& [id, check] : unreachable) {
        if (haveCrashed && !check.candidates.empty())
            quarantine_.recordCrash(check.candidates);
    }
    for (const auto& [id, check] : unreachable) {
        for (const std::function<void()>& done : check.waiting)
            done();
    }
}

void CrashDetector::requestAbandoned(const std::string& serverId, CrashCandidate candidate)
{
    std::vector<Abandoned>& abandoned = abandoned_[serverId];
    std::size_t parts = std::accumulate(abandoned.begin(), abandoned.end(), candidate.parts.size(), [](std::size_t sum, const Abandoned& request) { return sum + request.candidate.parts.size(); });
    while (!abandoned.empty() && (abandoned.size() >= settings_.maxAbandonedPerServer || parts > settings_.maxAbandonedParts)) {
        parts -= abandoned.front().candidate.parts.size();
        abandoned.erase(abandoned.begin());
    }
    abandoned.push_back({ std::move(candidate), clock_.now() });
}

void CrashDetector::connectionFailed(const std::string& serverId)
{
    if (hasAbandoned(serverId))
        addUnreachable(serverId, {});
}

// Removes and returns the requests that the server may still have had when it crashed.
std::vector<CrashCandidate> CrashDetector::takeAbandoned(const std::string& serverId)
{
    std::vector<CrashCandidate> candidates;
    auto entry = abandoned_.find(serverId);
    if (entry == abandoned_.end())
        return candidates;
    for (Abandoned& abandoned : entry->second) {
        if (clock_.now() - abandoned.endedAt <= settings_.abandonedTime)
            candidates.push_back(std::move(abandoned.candidate));
    }
    abandoned_.erase(entry);
    return candidates;
}

void CrashDetector::removeExpired()
{
    TimePoint limit = clock_.now() - settings_.abandonedTime;
    for (auto entry = abandoned_.begin(); entry != abandoned_.end();) {
        std::vector<Abandoned>& abandoned = entry->second;
        abandoned.erase(std::remove_if(abandoned.begin(), abandoned.end(), [limit](const Abandoned& request) { return request.endedAt < limit; }), abandoned.end());
        entry = abandoned.empty() ? abandoned_.erase(entry) : std::next(entry);
    }
}

}

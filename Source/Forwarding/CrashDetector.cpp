#include "Forwarding/CrashDetector.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace Damaskgrade {

CrashDetector::CrashDetector(const Clock& clock, PromptQuarantine& quarantine, UpstreamPool::Factory factory, CrashDetectorSettings settings)
    : clock_(clock)
    , quarantine_(quarantine)
    , factory_(std::move(factory))
    , settings_(settings)
{
}

void CrashDetector::connectionBroke(const ServerRecord& server, CrashCandidate candidate, std::function<void()> done)
{
    Check& check = checks_[server.id];
    check.candidates.push_back(std::move(candidate));
    check.waiting.push_back(std::move(done));
    if (check.waiting.size() > 1)
        return;
    std::shared_ptr<UpstreamConnection> connection = factory_();
    connection->connect(server.address, settings_.connectTimeout, [this, id = server.id, connection](bool isOpen) {
        connection->close();
        finishCheck(id, !isOpen);
    });
}

void CrashDetector::finishCheck(const std::string& serverId, bool hasCrashed)
{
    auto entry = checks_.find(serverId);
    Check check = std::move(entry->second);
    checks_.erase(entry);
    if (hasCrashed) {
        std::vector<CrashCandidate> abandoned = takeAbandoned(serverId);
        check.candidates.insert(check.candidates.end(), abandoned.begin(), abandoned.end());
        quarantine_.recordCrash(check.candidates);
    }
    for (const std::function<void()>& done : check.waiting)
        done();
}

void CrashDetector::requestAbandoned(const std::string& serverId, CrashCandidate candidate)
{
    std::vector<Abandoned>& abandoned = abandoned_[serverId];
    if (abandoned.size() >= settings_.maxAbandonedPerServer)
        abandoned.erase(abandoned.begin());
    abandoned.push_back({ std::move(candidate), clock_.now() });
}

void CrashDetector::connectionFailed(const std::string& serverId)
{
    std::vector<CrashCandidate> candidates = takeAbandoned(serverId);
    if (!candidates.empty())
        quarantine_.recordCrash(candidates);
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

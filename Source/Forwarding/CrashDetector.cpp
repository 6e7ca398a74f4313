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

void CrashDetector::connectionBroke(const ServerRecord& server, gsl::span<const PromptPart> parts, TimePoint sentAt, std::function<void()> done)
{
    Check& check = checks_[server.id];
    check.candidates.push_back({ { parts.begin(), parts.end() }, sentAt, clock_.now() });
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
        for (const Candidate& candidate : check.candidates)
            quarantine_.recordCrash(candidate.parts, candidate.sentAt);
        connectionFailed(serverId);
    }
    for (const std::function<void()>& done : check.waiting)
        done();
}

void CrashDetector::requestAbandoned(const std::string& serverId, gsl::span<const PromptPart> parts, TimePoint sentAt)
{
    std::vector<Candidate>& candidates = abandoned_[serverId];
    if (candidates.size() >= settings_.maxAbandonedPerServer)
        candidates.erase(candidates.begin());
    candidates.push_back({ { parts.begin(), parts.end() }, sentAt, clock_.now() });
}

void CrashDetector::connectionFailed(const std::string& serverId)
{
    auto entry = abandoned_.find(serverId);
    if (entry == abandoned_.end())
        return;
    std::vector<Candidate> candidates = std::move(entry->second);
    abandoned_.erase(entry);
    for (const Candidate& candidate : candidates) {
        if (clock_.now() - candidate.endedAt <= settings_.abandonedTime)
            quarantine_.recordCrash(candidate.parts, candidate.sentAt);
    }
}

void CrashDetector::removeExpired()
{
    TimePoint limit = clock_.now() - settings_.abandonedTime;
    for (auto entry = abandoned_.begin(); entry != abandoned_.end();) {
        std::vector<Candidate>& candidates = entry->second;
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), [limit](const Candidate& candidate) { return candidate.endedAt < limit; }), candidates.end());
        entry = candidates.empty() ? abandoned_.erase(entry) : std::next(entry);
    }
}

}

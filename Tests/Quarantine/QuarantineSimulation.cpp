#include "Quarantine/QuarantineSimulation.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds stepTime { 10 };
constexpr milliseconds statePeriod { 200 };
constexpr milliseconds messageTime { 5 };
constexpr milliseconds timeToResponse { 150 };
constexpr milliseconds timeToFirstEvent { 50 };
constexpr milliseconds exposure { 200 };
// Callers leave a stream without an event after this time.
constexpr milliseconds patience { 1700 };
constexpr milliseconds groupDownTime { 3500 };
constexpr std::size_t serverCount { 16 };
constexpr std::size_t maxPeersPerPeriod { 24 };
constexpr std::size_t firstPartCount { 60 };

}

QuarantineSimulation::QuarantineSimulation(std::size_t entryCount, std::uint64_t seed)
    : makeParts([](Random& random) { return std::vector<PromptPart> { 1 + random.index(firstPartCount) }; })
    , random_(seed)
    , entries_(entryCount)
    , groupUpAt_(clock.now())
{
    for (std::size_t i = 0; i < entryCount; ++i) {
        startEntry(i);
        entries_[i].phase = stepTime * random_.index(statePeriod / stepTime);
    }
}

void QuarantineSimulation::startEntry(std::size_t entry)
{
    entries_[entry].quarantine = std::make_unique<PromptQuarantine>(clock, "entry " + std::to_string(entry), QuarantineSettings(),
        [this, entry](PromptPart, QuarantineEvent, std::uint32_t, bool isLocal) { entries_[entry].hasNews = entries_[entry].hasNews || isLocal; });
}

void QuarantineSimulation::restartEntry(std::size_t entry)
{
    requests_.erase(std::remove_if(requests_.begin(), requests_.end(), [entry](const Request& request) { return request.entry == entry; }), requests_.end());
    startEntry(entry);
}

void QuarantineSimulation::setReachable(std::size_t entry, bool isReachable)
{
    entries_[entry].isReachable = isReachable;
    entries_[entry].quarantine->setIsolated(!isReachable);
}

void QuarantineSimulation::request(std::vector<PromptPart> parts)
{
    requestAt(random_.index(entries_.size()), std::move(parts));
}

void QuarantineSimulation::requestAt(std::size_t entry, std::vector<PromptPart> parts)
{
    soundRequests += isCrashing(parts) ? 0 : 1;
    Request request;
    request.entry = entry;
    request.number = ++lastNumber_;
    request.parts = std::move(parts);
    request.arrivedAt = clock.now();
    requests_.push_back(std::move(request));
}

void QuarantineSimulation::runTraffic(milliseconds time, double requestsPerSecond, double crashingShare)
{
    for (milliseconds passed { 0 }; passed < time; passed += stepTime) {
        if (random_.fraction() < requestsPerSecond * std::chrono::duration<double>(stepTime).count()) {
            std::vector<PromptPart> parts = makeParts(random_);
            if (!crashingParts.empty() && random_.fraction() < crashingShare)
                parts.push_back(*std::next(crashingParts.begin(), static_cast<std::ptrdiff_t>(random_.index(crashingParts.size()))));
            request(parts);
        }
        step();
    }
}

void QuarantineSimulation::run(milliseconds time)
{
    for (milliseconds passed { 0 }; passed < time; passed += stepTime)
        step();
}

void QuarantineSimulation::step()
{
    clock.advance(stepTime);
    while (!messages_.empty() && messages_.front().arrivesAt <= clock.now()) {
        Message message = std::move(messages_.front());
        messages_.pop_front();
        entries_[message.to].quarantine->applyReports(message.reports);
    }
    for (std::size_t i = 0; i < requests_.size(); ++i) {
        if (!requests_[i].isSent)
            trySend(requests_[i]);
        else if (clock.now() >= requests_[i].beginsAt && clock.now() >= groupUpAt_)
            begin(requests_[i]);
    }
    requests_.erase(std::remove_if(requests_.begin(), requests_.end(), [](const Request& request) { return request.number == 0; }), requests_.end());
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        bool isDue = (clock.now().time_since_epoch() + entries_[i].phase) % statePeriod < stepTime;
        if (isDue || entries_[i].hasNews)
            sendState(i);
        entries_[i].hasNews = false;
    }
}

void QuarantineSimulation::sendState(std::size_t entry)
{
    std::vector<SuspectReport> reports = entries_[entry].quarantine->nextReports();
    if (reports.empty() || !entries_[entry].isReachable)
        return;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        bool isChosen = entries_.size() <= maxPeersPerPeriod || random_.index(entries_.size()) < maxPeersPerPeriod;
        if (i != entry && entries_[i].isReachable && isChosen)
            messages_.push_back({ clock.now() + messageTime, i, reports });
    }
}

// A request that is finished has the number 0.
void QuarantineSimulation::trySend(Request& request)
{
    PromptQuarantine& quarantine = *entries_[request.entry].quarantine;
    QuarantineVerdict verdict = quarantine.admit(request.parts, request.number);
    bool isOverdue = clock.now() - request.arrivedAt > patience;
    if (verdict.decision == QuarantineDecision::Refuse || isOverdue) {
        if (verdict.decision == QuarantineDecision::Refuse && !isCrashing(request.parts))
            ++soundRefusedByQuarantine;
        quarantine.release(request.parts, request.number);
        request.number = 0;
        return;
    }
    if (verdict.decision == QuarantineDecision::Wait || clock.now() < groupUpAt_)
        return;
    request.isSent = true;
    request.server = random_.index(serverCount);
    request.sentAt = clock.now();
    request.beginsAt = clock.now() + timeToResponse;
}

void QuarantineSimulation::begin(Request& request)
{
    if (isCrashing(request.parts)) {
        for (PromptPart part : request.parts)
            crashesOfPart[part] += crashingParts.count(part);
        endServer(request.server);
        return;
    }
    if (clock.now() < request.beginsAt + exposure)
        return;
    ++soundResponses;
    entries_[request.entry].quarantine->recordResponse(request.parts);
    request.number = 0;
}

void QuarantineSimulation::crashServer()
{
    endServer(random_.index(serverCount));
}

// The requests of the server break, those of the other ranks are refused as not executed.
void QuarantineSimulation::endServer(std::size_t server)
{
    ++crashes;
    groupUpAt_ = clock.now() + groupDownTime;
    std::map<std::size_t, std::vector<CrashCandidate>> candidates;
    for (Request& request : requests_) {
        if (!request.isSent)
            continue;
        if (request.server == server) {
            bool hasBegun = clock.now() >= request.beginsAt && clock.now() < request.beginsAt + timeToFirstEvent;
            candidates[request.entry].push_back({ request.parts, request.sentAt, hasBegun });
            entries_[request.entry].quarantine->release(request.parts, request.number);
            request.number = 0;
        }
        request.isSent = false;
    }
    for (const auto& [entry, requests] : candidates)
        entries_[entry].quarantine->recordCrash(requests);
}

bool QuarantineSimulation::isCrashing(const std::vector<PromptPart>& parts) const
{
    return std::any_of(parts.begin(), parts.end(), [this](PromptPart part) { return crashingParts.count(part) != 0; });
}

bool QuarantineSimulation::isSuspectEverywhere(PromptPart part) const
{
    return std::all_of(entries_.begin(), entries_.end(), [part](const Entry& entry) { return entry.quarantine->isSuspect(std::vector<PromptPart> { part }); });
}

bool QuarantineSimulation::isSuspectAnywhere(PromptPart part) const
{
    return std::any_of(entries_.begin(), entries_.end(), [part](const Entry& entry) { return entry.quarantine->isSuspect(std::vector<PromptPart> { part }); });
}

}

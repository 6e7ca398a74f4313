#include "Quarantine/PromptQuarantine.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

// About 1 MB. More distinct parts than a day of the target size uses.
constexpr std::size_t maxSoundParts = 16384;
// Crashes whose cause may still be found by ruling out other parts.
constexpr std::size_t maxUnresolvedCrashes = 16;
// Time after which a caller may try again while another request is the probe.
constexpr std::chrono::milliseconds probeRetryDelay { 1000 };

std::chrono::milliseconds age(TimePoint now, TimePoint at)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
}

}

PromptQuarantine::PromptQuarantine(const Clock& clock, std::string entryName, QuarantineSettings settings, Observer observer)
    : clock_(clock)
    , entryName_(std::move(entryName))
    , settings_(settings)
    , observer_(std::move(observer))
    , soundParts_(maxSoundParts)
    , causes_(maxUnresolvedCrashes)
{
}

QuarantineVerdict PromptQuarantine::admit(gsl::span<const PromptPart> parts, std::uint64_t requester)
{
    if (records_.empty())
        return {};
    TimePoint now = clock_.now();
    Duration blocked = Duration::zero();
    bool isProbedElsewhere = false;
    bool hasClaims = true;
    std::size_t restrictedParts = 0;
    TimePoint lastCrashAt = TimePoint::min();
    for (PromptPart part : parts) {
        const Record* record = restrictedRecord(part);
        if (!record)
            continue;
        ++restrictedParts;
        lastCrashAt = std::max(lastCrashAt, record->lastCrashAt);
        blocked = std::max(blocked, blockedUntil(*record) - now);
        bool isOwnProbe = record->probeEntry == entryName_ && (record->probeRequester == 0 || record->probeRequester == requester);
        isProbedElsewhere = isProbedElsewhere || (isClaimed(*record) && !isOwnProbe);
        hasClaims = hasClaims && isClaimed(*record) && now - record->claimedAt >= settings_.claimDelay;
    }
    if (blocked > Duration::zero())
        return { QuarantineDecision::Refuse, std::min(blocked, settings_.maxBlock) };
    bool isJointProbeEarly = restrictedParts > 1 && now < lastCrashAt + settings_.jointProbeDelay;
    bool mayProbe = !isProbedElsewhere && !isJointProbeEarly && !isIsolated_;
    if (restrictedParts > 0 && !mayProbe)
        return { QuarantineDecision::Refuse, probeRetryDelay };
    for (PromptPart part : parts) {
        if (Record* record = restrictedRecord(part))
            claimProbe(part, *record, requester);
    }
    return { hasClaims ? QuarantineDecision::Send : QuarantineDecision::Wait };
}

void PromptQuarantine::claimProbe(PromptPart part, Record& record, std::uint64_t requester)
{
    record.probeRequester = requester;
    if (isClaimed(record))
        return;
    record.probeEntry = entryName_;
    record.claimedAt = clock_.now();
    record.changedAt = clock_.now();
    if (observer_)
        observer_(part, QuarantineEvent::ProbeClaimed, record.crashes, true);
}

void PromptQuarantine::recordResponse(gsl::span<const PromptPart> parts)
{
    for (PromptPart part : parts) {
        soundParts_.insert(part);
        auto found = records_.find(part);
        if (found == records_.end() || found->second.clearedAt)
            continue;
        bool wasRestricted = isRestricted(found->second);
        clear(found->second, clock_.now());
        if (wasRestricted)
            notify(part, found->second, true);
    }
    blockSingleCauses();
}

void PromptQuarantine::clear(Record& record, TimePoint at)
{
    record.crashes = 0;
    record.wasSound = true;
    record.clearedAt = at;
    record.probeEntry.clear();
    record.probeRequester = 0;
    record.changedAt = clock_.now();
}

void PromptQuarantine::recordCrash(gsl::span<const CrashCandidate> candidates)
{
    for (const CrashCandidate& candidate : candidates) {
        for (PromptPart part : candidate.parts)
            countCrash(part, candidate.sentAt);
    }
    recordCause(candidates);
}

void PromptQuarantine::countCrash(PromptPart part, TimePoint sentAt)
{
    Record& record = obtainRecord(part);
    // The ranks of a group end together, so a request that was sent before the last crash adds nothing to it.
    if (record.crashes > 0 && sentAt < record.lastCrashAt)
        return;
    ++record.crashes;
    record.wasSound = record.wasSound || soundParts_.contains(part);
    record.lastCrashAt = clock_.now();
    record.clearedAt.reset();
    record.probeEntry.clear();
    record.probeRequester = 0;
    record.changedAt = clock_.now();
    notify(part, record, true);
}

// A server that crashes during the start of just one response most likely crashed because of it, and then because of a part
// that no prompt has been answered with.
void PromptQuarantine::recordCause(gsl::span<const CrashCandidate> candidates)
{
    auto hasBegun = [](const CrashCandidate& candidate) { return candidate.hasBegun; };
    if (std::count_if(candidates.begin(), candidates.end(), hasBegun) != 1)
        return;
    causes_.add(std::find_if(candidates.begin(), candidates.end(), hasBegun)->parts);
    blockSingleCauses();
}

// Counts one more crash for each part that alone is left as the cause of a crash, so that it is blocked without a probe.
void PromptQuarantine::blockSingleCauses()
{
    for (PromptPart part : causes_.takeResolved([this](PromptPart candidate) { return isKnownSound(candidate); })) {
        auto found = records_.find(part);
        if (found == records_.end() || found->second.crashes != settings_.crashesUntilRestricted)
            continue;
        ++found->second.crashes;
        found->second.changedAt = clock_.now();
        notify(part, found->second, true);
    }
}

bool PromptQuarantine::isKnownSound(PromptPart part) const
{
    const Record* record = find(part);
    return soundParts_.contains(part) || (record && record->wasSound);
}

void PromptQuarantine::release(gsl::span<const PromptPart> parts, std::uint64_t requester)
{
    for (PromptPart part : parts) {
        auto found = records_.find(part);
        if (found != records_.end() && found->second.probeRequester == requester)
            found->second.probeRequester = 0;
    }
}

bool PromptQuarantine::isSuspect(gsl::span<const PromptPart> parts) const
{
    return std::any_of(parts.begin(), parts.end(), [this](PromptPart part) {
        const Record* record = find(part);
        return record && isRestricted(*record);
    });
}

bool PromptQuarantine::mustWithdraw(gsl::span<const PromptPart> parts, std::uint64_t requester) const
{
    return std::any_of(parts.begin(), parts.end(), [this, requester](PromptPart part) {
        const Record* record = find(part);
        return record && isRestricted(*record) && record->probeRequester != requester;
    });
}

std::vector<SuspectReport> PromptQuarantine::nextReports()
{
    TimePoint now = clock_.now();
    std::vector<SuspectReport> reports;
    std::vector<PromptPart> news;
    for (auto entry = records_.begin(); entry != records_.end();) {
        if (isExpired(entry->second)) {
            entry = records_.erase(entry);
            continue;
        }
        if (now - entry->second.changedAt <= settings_.newsTime)
            news.push_back(entry->first);
        ++entry;
    }
    std::sort(news.begin(), news.end(), [this](PromptPart left, PromptPart right) {
        const Record& leftRecord = records_[left];
        const Record& rightRecord = records_[right];
        return std::make_pair(isRestricted(leftRecord), leftRecord.changedAt) > std::make_pair(isRestricted(rightRecord), rightRecord.changedAt);
    });
    news.resize(std::min(news.size(), settings_.maxNewsPerReport));
    reports.reserve(news.size() + settings_.maxOthersPerReport);
    for (PromptPart part : news)
        reports.push_back(makeReport(part, records_[part]));
    for (PromptPart part : nextSuspects()) {
        if (std::find(news.begin(), news.end(), part) == news.end())
            reports.push_back(makeReport(part, records_[part]));
    }
    return reports;
}

// Returns the next suspect parts in turn.
std::vector<PromptPart> PromptQuarantine::nextSuspects()
{
    std::vector<PromptPart> parts;
    auto next = records_.upper_bound(reportedPart_);
    for (std::size_t i = 0; i < records_.size() && parts.size() < settings_.maxOthersPerReport; ++i, ++next) {
        if (next == records_.end())
            next = records_.begin();
        if (!isRestricted(next->second))
            continue;
        parts.push_back(next->first);
        reportedPart_ = next->first;
    }
    return parts;
}

SuspectReport PromptQuarantine::makeReport(PromptPart part, const Record& record) const
{
    TimePoint now = clock_.now();
    SuspectReport report;
    report.part = part;
    report.crashes = record.crashes;
    report.wasSound = record.wasSound;
    report.lastCrashAge = age(now, record.lastCrashAt);
    if (record.clearedAt)
        report.clearedAge = age(now, *record.clearedAt);
    if (isClaimed(record)) {
        report.probeEntry = record.probeEntry;
        report.claimAge = age(now, record.claimedAt);
    }
    return report;
}

std::optional<SuspectReport> PromptQuarantine::report(PromptPart part) const
{
    const Record* record = find(part);
    return record ? std::optional<SuspectReport>(makeReport(part, *record)) : std::nullopt;
}

void PromptQuarantine::applyReports(gsl::span<const SuspectReport> reports)
{
    for (const SuspectReport& report : reports)
        applyReport(report);
    blockSingleCauses();
}

// Reports describe the same few facts over and over, so the merge is idempotent: more crashes and a later response win, and
// of equal claims the one of the entry with the lower name.
void PromptQuarantine::applyReport(const SuspectReport& report)
{
    TimePoint now = clock_.now();
    TimePoint lastCrashAt = now - report.lastCrashAge;
    auto known = records_.find(report.part);
    if (report.clearedAge) {
        TimePoint clearedAt = now - *report.clearedAge;
        if (known == records_.end() || known->second.clearedAt || clearedAt <= known->second.lastCrashAt)
            return;
        clear(known->second, clearedAt);
        notify(report.part, known->second, false);
        return;
    }
    bool isOutdated = known != records_.end() && known->second.clearedAt && *known->second.clearedAt > lastCrashAt;
    if (isOutdated || report.crashes == 0)
        return;
    Record& record = obtainRecord(report.part);
    bool wasSound = record.wasSound || report.wasSound || soundParts_.contains(report.part);
    if (report.crashes > record.crashes) {
        record.crashes = report.crashes;
        record.lastCrashAt = lastCrashAt;
        record.clearedAt.reset();
        record.probeEntry.clear();
        record.probeRequester = 0;
        record.changedAt = now;
        if (isRestricted(record))
            notify(report.part, record, false);
    }
    if (wasSound != record.wasSound) {
        record.wasSound = wasSound;
        record.changedAt = now;
    }
    applyClaim(record, report);
}

void PromptQuarantine::applyClaim(Record& record, const SuspectReport& report)
{
    bool isCurrent = !report.probeEntry.empty() && report.crashes == record.crashes && report.claimAge < settings_.claimTime;
    bool isPreferred = !isClaimed(record) || report.probeEntry < record.probeEntry;
    if (!isCurrent || !isPreferred || report.probeEntry == entryName_)
        return;
    record.probeEntry = report.probeEntry;
    record.claimedAt = clock_.now() - report.claimAge;
    record.probeRequester = 0;
    record.changedAt = clock_.now();
}

std::size_t PromptQuarantine::suspectCount() const
{
    return static_cast<std::size_t>(std::count_if(records_.begin(), records_.end(), [this](const auto& entry) { return isRestricted(entry.second); }));
}

bool PromptQuarantine::isRestricted(const Record& record) const
{
    return record.crashes >= restrictionLimit(record);
}

bool PromptQuarantine::isClaimed(const Record& record) const
{
    return !record.probeEntry.empty() && clock_.now() - record.claimedAt < settings_.claimTime;
}

bool PromptQuarantine::isExpired(const Record& record) const
{
    bool wasBlocked = record.crashes > restrictionLimit(record);
    TimePoint end = std::max(record.lastCrashAt, blockedUntil(record));
    return clock_.now() > end && clock_.now() - end > (wasBlocked ? settings_.blockedRecordTime : settings_.recordTime);
}

std::uint32_t PromptQuarantine::restrictionLimit(const Record& record) const
{
    return record.wasSound ? settings_.crashesUntilRestrictedIfSound : settings_.crashesUntilRestricted;
}

// Returns the time of the last crash if the part is not blocked at all.
TimePoint PromptQuarantine::blockedUntil(const Record& record) const
{
    if (record.crashes >= settings_.maxCrashes)
        return TimePoint::max();
    std::uint32_t limit = restrictionLimit(record);
    if (record.crashes <= limit)
        return record.lastCrashAt;
    Duration block = settings_.firstBlock;
    for (std::uint32_t i = limit + 1; i < record.crashes && block < settings_.maxBlock; ++i)
        block *= settings_.blockFactor;
    return record.lastCrashAt + std::min(block, settings_.maxBlock);
}

const PromptQuarantine::Record* PromptQuarantine::find(PromptPart part) const
{
    auto found = records_.find(part);
    return found == records_.end() ? nullptr : &found->second;
}

// Returns null if requests with the part are not restricted.
PromptQuarantine::Record* PromptQuarantine::restrictedRecord(PromptPart part)
{
    auto found = records_.find(part);
    return found == records_.end() || !isRestricted(found->second) ? nullptr : &found->second;
}

PromptQuarantine::Record& PromptQuarantine::obtainRecord(PromptPart part)
{
    if (records_.count(part) == 0 && records_.size() >= settings_.maxRecords)
        makeRoom();
    return records_[part];
}

// Removes the record with the fewest crashes, and of these the oldest. A caller that invents parts can't displace a part
// that has crashed several servers with parts that have crashed one.
void PromptQuarantine::makeRoom()
{
    auto isLessImportant = [](const auto& left, const auto& right) {
        return std::make_pair(left.second.crashes, left.second.lastCrashAt) < std::make_pair(right.second.crashes, right.second.lastCrashAt);
    };
    records_.erase(std::min_element(records_.begin(), records_.end(), isLessImportant));
}

void PromptQuarantine::notify(PromptPart part, const Record& record, bool isLocal) const
{
    if (!observer_)
        return;
    QuarantineEvent event = blockedUntil(record) > clock_.now() ? QuarantineEvent::Blocked : QuarantineEvent::Suspected;
    observer_(part, record.clearedAt ? QuarantineEvent::Cleared : event, record.crashes, isLocal);
}

}

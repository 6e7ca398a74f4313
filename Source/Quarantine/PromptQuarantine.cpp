#include "Quarantine/PromptQuarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Damaskgrade {

namespace {

// About 1 MB. More distinct parts than a day of the target size uses.
constexpr std::size_t maxSoundParts = 16384;
// Crashes whose cause may still be found by ruling out other parts.
constexpr std::size_t maxUnresolvedCrashes = 16;
// Parts of all crashes that are remembered, 256 KiB.
constexpr std::size_t maxRecentCrashParts = 32768;
// The share of the records that is dropped at once when there are too many, so that this is seldom.
constexpr std::size_t droppedRecordsDivisor = 8;
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
    , soundParts_(maxSoundParts, { settings.hashSeed })
    , records_(0, PromptPartHash { settings.hashSeed })
    , causes_(maxUnresolvedCrashes)
    , recentCrashes_(maxUnresolvedCrashes, maxRecentCrashParts)
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
    bool isJointProbeEarly = restrictedParts > 1 && now < lastCrashAt + settings_.jointProbeDelay;
    // A request without some of the parts that may be the cause of a crash tells them apart, so it need not wait.
    if ((blocked > Duration::zero() || isJointProbeEarly) && hasOtherCause(parts)) {
        blocked = Duration::zero();
        isJointProbeEarly = false;
    }
    if (blocked > Duration::zero())
        return { QuarantineDecision::Refuse, std::min(blocked, settings_.maxBlock) };
    bool mayProbe = !isProbedElsewhere && !isJointProbeEarly && !isIsolated_;
    if (restrictedParts > 0 && !mayProbe)
        return { QuarantineDecision::Refuse, probeRetryDelay };
    for (PromptPart part : parts) {
        if (Record* record = restrictedRecord(part))
            claimProbe(part, *record, requester);
    }
    return { hasClaims ? QuarantineDecision::Send : QuarantineDecision::Wait };
}

// Returns whether the crashes of the restricted parts may all have been caused by other parts. A part with more than one crash
// beyond its restriction is given no such excuse, so that a part which is always in use together with others ends few servers.
bool PromptQuarantine::hasOtherCause(gsl::span<const PromptPart> parts) const
{
    bool mayBeExcused = std::none_of(parts.begin(), parts.end(), [this](PromptPart part) {
        const Record* record = find(part);
        return record && record->crashes > restrictionLimit(*record) + 1;
    });
    if (!mayBeExcused)
        return false;
    std::vector<PromptPart> sorted(parts.begin(), parts.end());
    std::sort(sorted.begin(), sorted.end());
    return recentCrashes_.haveOtherCause(sorted, [this](PromptPart part) { return suspicionOf(part); });
}

RecentCrashes::Suspicion PromptQuarantine::suspicionOf(PromptPart part) const
{
    const Record* record = find(part);
    return record ? RecentCrashes::Suspicion { record->crashes, isRestricted(*record), isBlocked(*record) && !record->isInferred } : RecentCrashes::Suspicion {};
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
        clear(part, found->second, clock_.now(), true, true);
    }
    blockSingleCauses();
    clearExplained();
}

void PromptQuarantine::clear(PromptPart part, Record& record, TimePoint at, bool isSound, bool isLocal)
{
    bool wasRestricted = isRestricted(record);
    bool mayBeStored = record.crashes > settings_.crashesUntilRestricted;
    record.crashes = 0;
    record.wasSound = record.wasSound || isSound;
    record.clearedAt = at;
    record.probeEntry.clear();
    record.probeRequester = 0;
    record.changedAt = clock_.now();
    if (wasRestricted && observer_)
        observer_(part, mayBeStored ? QuarantineEvent::Unblocked : QuarantineEvent::Cleared, 0, isLocal);
}

void PromptQuarantine::recordCrash(gsl::span<const CrashCandidate> candidates)
{
    std::vector<PromptPart> parts;
    // Records of the requests that had begun come last, so that they are the last to be dropped when there are too many.
    for (bool hasBegun : { false, true }) {
        for (const CrashCandidate& candidate : candidates) {
            if (candidate.hasBegun != hasBegun)
                continue;
            for (PromptPart part : candidate.parts)
                countCrash(part, candidate.sentAt);
            parts.insert(parts.end(), candidate.parts.begin(), candidate.parts.end());
        }
    }
    recentCrashes_.add(std::move(parts));
    recordCause(candidates);
    clearExplained();
}

void PromptQuarantine::countCrash(PromptPart part, TimePoint sentAt)
{
    Record& record = obtainRecord(part);
    // The ranks of a group end together, so a request that was sent before the last crash adds nothing to it.
    if (record.crashes > 0 && sentAt < record.lastCrashAt)
        return;
    ++record.crashes;
    record.isInferred = false;
    record.wasSound = record.wasSound || soundParts_.contains(part);
    record.lastCrashAt = clock_.now();
    record.clearedAt.reset();
    record.probeEntry.clear();
    record.probeRequester = 0;
    record.changedAt = clock_.now();
    record.crashNumber = ++lastCrashNumber_;
    hasNewExplanation_ = hasNewExplanation_ || isBlocked(record);
    notify(part, record, true);
}

// Ends the suspicion of the parts whose crashes a blocked part explains. They are not known to be sound.
void PromptQuarantine::clearExplained()
{
    if (!std::exchange(hasNewExplanation_, false))
        return;
    std::vector<PromptPart> explained = recentCrashes_.explained([this](PromptPart part) { return suspicionOf(part); });
    for (PromptPart part : explained) {
        auto found = records_.find(part);
        if (found != records_.end() && !found->second.clearedAt)
            clear(part, found->second, clock_.now(), false, true);
    }
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
        found->second.isInferred = true;
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
    if (records_.empty())
        return;
    for (PromptPart part : parts) {
        auto found = records_.find(part);
        if (found != records_.end() && found->second.probeRequester == requester)
            found->second.probeRequester = 0;
    }
}

bool PromptQuarantine::isSuspect(gsl::span<const PromptPart> parts) const
{
    return !records_.empty() && std::any_of(parts.begin(), parts.end(), [this](PromptPart part) {
        const Record* record = find(part);
        return record && isRestricted(*record);
    });
}

bool PromptQuarantine::mustWithdraw(gsl::span<const PromptPart> parts, std::uint64_t requester) const
{
    return !records_.empty() && std::any_of(parts.begin(), parts.end(), [this, requester](PromptPart part) {
        const Record* record = find(part);
        return record && isRestricted(*record) && record->probeRequester != requester;
    });
}

// Returns whether a record is to be told ahead of others: for some time after a change, and until it was told once.
bool PromptQuarantine::isNews(const Record& record) const
{
    return clock_.now() - record.changedAt <= settings_.newsTime || !record.reportedAt || *record.reportedAt < record.changedAt;
}

std::vector<SuspectReport> PromptQuarantine::nextReports()
{
    TimePoint now = clock_.now();
    std::vector<Records::iterator> news;
    std::vector<Records::iterator> others;
    for (auto entry = records_.begin(); entry != records_.end();) {
        if (isExpired(entry->second)) {
            entry = records_.erase(entry);
            continue;
        }
        if (isNews(entry->second))
            news.push_back(entry);
        else if (isRestricted(entry->second))
            others.push_back(entry);
        ++entry;
    }
    auto selectFirst = [](std::vector<Records::iterator>& entries, std::size_t count, const auto& isBefore) {
        count = std::min(count, entries.size());
        std::partial_sort(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(count), entries.end(), isBefore);
        entries.resize(count);
    };
    // The least recently told first, and of those the most suspect, so that all are told if there are more than fit in one message.
    selectFirst(news, settings_.maxNewsPerReport, [this](const Records::iterator& left, const Records::iterator& right) {
        auto rank = [this](const Records::iterator& entry) {
            const Record& record = entry->second;
            TimePoint toldAt = record.reportedAt && *record.reportedAt >= record.changedAt ? *record.reportedAt : TimePoint::min();
            return std::make_tuple(toldAt, !isRestricted(record), ~record.crashes, -record.changedAt.time_since_epoch(), entry->first);
        };
        return rank(left) < rank(right);
    });
    selectFirst(others, settings_.maxOthersPerReport, [](const Records::iterator& left, const Records::iterator& right) {
        return std::make_pair(left->second.reportedAt, left->first) < std::make_pair(right->second.reportedAt, right->first);
    });
    news.insert(news.end(), others.begin(), others.end());
    std::vector<SuspectReport> reports;
    reports.reserve(news.size());
    for (const Records::iterator& entry : news) {
        entry->second.reportedAt = now;
        reports.push_back(makeReport(entry->first, entry->second));
    }
    return reports;
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
    clearExplained();
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
        clear(report.part, known->second, clearedAt, report.wasSound, false);
        return;
    }
    bool isOutdated = known != records_.end() && known->second.clearedAt && *known->second.clearedAt > lastCrashAt;
    if (isOutdated || report.crashes == 0)
        return;
    Record& record = obtainRecord(report.part);
    bool wasSound = record.wasSound || report.wasSound || soundParts_.contains(report.part);
    if (report.crashes > record.crashes) {
        record.crashes = report.crashes;
        record.isInferred = false;
        record.lastCrashAt = lastCrashAt;
        record.clearedAt.reset();
        record.probeEntry.clear();
        record.probeRequester = 0;
        record.changedAt = now;
        record.crashNumber = ++lastCrashNumber_;
        hasNewExplanation_ = hasNewExplanation_ || isBlocked(record);
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

bool PromptQuarantine::isBlocked(const Record& record) const
{
    return record.crashes > restrictionLimit(record);
}

bool PromptQuarantine::isClaimed(const Record& record) const
{
    return !record.probeEntry.empty() && clock_.now() - record.claimedAt < settings_.claimTime;
}

bool PromptQuarantine::isExpired(const Record& record) const
{
    bool wasBlocked = isBlocked(record);
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

// Removes the records with the fewest crashes, and of these the oldest. A caller that invents parts can't displace a part
// that has crashed several servers with parts that have crashed one.
void PromptQuarantine::makeRoom()
{
    std::vector<Records::iterator> entries;
    entries.reserve(records_.size());
    for (auto entry = records_.begin(); entry != records_.end(); ++entry)
        entries.push_back(entry);
    auto firstKept = entries.begin() + static_cast<std::ptrdiff_t>(settings_.maxRecords / droppedRecordsDivisor + 1);
    std::nth_element(entries.begin(), firstKept, entries.end(), [](const Records::iterator& left, const Records::iterator& right) {
        return std::make_pair(left->second.crashes, left->second.crashNumber) < std::make_pair(right->second.crashes, right->second.crashNumber);
    });
    for (auto entry = entries.begin(); entry != firstKept; ++entry)
        records_.erase(*entry);
}

void PromptQuarantine::notify(PromptPart part, const Record& record, bool isLocal) const
{
    if (!observer_)
        return;
    QuarantineEvent event = blockedUntil(record) > clock_.now() ? QuarantineEvent::Blocked : QuarantineEvent::Suspected;
    observer_(part, event, record.crashes, isLocal);
}

}

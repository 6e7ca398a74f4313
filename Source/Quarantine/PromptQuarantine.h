#pragma once

#include "Core/Clock.h"
#include "Quarantine/CrashCauses.h"
#include "Quarantine/PromptPart.h"
#include "Quarantine/RecentCrashes.h"
#include "Quarantine/SoundParts.h"
#include "Quarantine/SuspectReport.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <gsl/span>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Damaskgrade {

struct QuarantineSettings {
    // Crashes without a response in between after which a part is restricted to probes; one more blocks it. A part that was
    // seen in an answered prompt before needs more, since it may just have been in use when a server crashed.
    std::uint32_t crashesUntilRestricted { 1 };
    std::uint32_t crashesUntilRestrictedIfSound { 2 };
    // Time for which a part is blocked after its first crash beyond the restriction. Each further crash multiplies it.
    Duration firstBlock { std::chrono::seconds(30) };
    std::uint32_t blockFactor { 8 };
    Duration maxBlock { std::chrono::hours(24) };
    // A part with this many crashes stays blocked for as long as its record is kept.
    std::uint32_t maxCrashes { 8 };
    // Time between the claim of a probe and its start, in which the other entries learn of the claim. Long enough for a
    // message that is relayed twice.
    Duration claimDelay { std::chrono::milliseconds(450) };
    // A claim without a result ends after this time.
    Duration claimTime { std::chrono::seconds(3) };
    // A request with several restricted parts is a probe only this long after their last crash, since its crash would not
    // tell them apart. Until then other requests are likely to clear the sound ones.
    Duration jointProbeDelay { std::chrono::seconds(10) };
    // The record of a part that was never blocked is dropped this long after its last crash.
    Duration recordTime { std::chrono::minutes(10) };
    // The record of a part that was blocked is dropped this long after its block.
    Duration blockedRecordTime { std::chrono::hours(24) };
    // Changed records are reported in every message for this time, other suspect parts in turn.
    Duration newsTime { std::chrono::seconds(2) };
    // Far more than the parts of a prompt that the largest accepted request head can hold.
    std::size_t maxRecords { 16384 };
    std::size_t maxNewsPerReport { 64 };
    std::size_t maxOthersPerReport { 2 };
    // Seed of the hashes of parts.
    std::uint64_t hashSeed { 0 };
};

// A request that a server had when it crashed, and of whose response it had not survived the start.
struct CrashCandidate {
    std::vector<PromptPart> parts;
    TimePoint sentAt;
    // The head of the response had arrived, but nothing of its content.
    bool hasBegun { false };
};

enum class QuarantineDecision {
    Send,
    // This entry has claimed a probe with the request, which may be sent a little later.
    Wait,
    // Another probe is pending, or the request has a blocked part.
    Refuse,
};

struct QuarantineVerdict {
    QuarantineDecision decision { QuarantineDecision::Send };
    // How long the request will be refused; zero unless it is refused.
    Duration retryAfter { 0 };
};

enum class QuarantineEvent {
    // A server crashed; requests with the part may be restricted.
    Suspected,
    Blocked,
    // A part that may have been blocked is free; its stored block must be deleted.
    Unblocked,
    // A part that was only suspected is free.
    Cleared,
    // An entry has claimed the next probe.
    ProbeClaimed,
};

// Finds the prompt parts that crash backend servers and keeps requests with them from the servers.
//
// A server that survives the start of a response proves all parts of that prompt sound. A server that crashes makes the parts of those of
// its requests suspect that have no response yet. Requests with a suspect part are sent one at a time over all entries, as
// probes: a response clears the part, a further crash blocks it. A part that alone can be the cause of a crash is blocked
// at once. A block ends after a time that grows with each crash, and then the part is probed again, so that a wrong
// suspicion ends by itself. Once a part is blocked, the other parts of prompts that it has crashed are free, unless they were in
// use at another crash.
class PromptQuarantine {
public:
    // isLocal tells whether this entry found the change itself, so that the other entries should learn of it at once.
    using Observer = std::function<void(PromptPart, QuarantineEvent, std::uint32_t crashes, bool isLocal)>;

    PromptQuarantine(const Clock& clock, std::string entryName, QuarantineSettings settings, Observer observer);

    // Decides whether a request may be sent now. The requester identifies the request; see release().
    QuarantineVerdict admit(gsl::span<const PromptPart> parts, std::uint64_t requester);

    // Records that a server has survived the start of the response to a prompt with these parts.
    void recordResponse(gsl::span<const PromptPart> parts);

    // Records that a server crashed while it had these requests.
    void recordCrash(gsl::span<const CrashCandidate> candidates);

    // Ends the probe of a request that got no result.
    void release(gsl::span<const PromptPart> parts, std::uint64_t requester);

    // Sets whether this entry is out of contact with most other entries. It then sends no probes, since it can't know whether
    // the others have probed a part already.
    void setIsolated(bool isIsolated) { isIsolated_ = isIsolated; }

    // Returns whether this entry restricts or blocks requests with one of these parts.
    bool isSuspect(gsl::span<const PromptPart> parts) const;

    // Returns whether a request that was sent before should be withdrawn: one of its parts is suspect, and it is not the probe.
    bool mustWithdraw(gsl::span<const PromptPart> parts, std::uint64_t requester) const;

    // Returns what to tell the other entries now. Successive calls report the unchanged suspect parts in turn.
    std::vector<SuspectReport> nextReports();

    void applyReports(gsl::span<const SuspectReport> reports);

    // Returns what this entry knows of a part, or std::nullopt if it was never suspect.
    std::optional<SuspectReport> report(PromptPart part) const;

    std::size_t suspectCount() const;
    std::size_t recordCount() const { return records_.size(); }

private:
    struct Record {
        // Crashes since the last response to a prompt with this part.
        std::uint32_t crashes { 0 };
        bool wasSound { false };
        // The last of the crashes is only inferred, from the soundness of all other parts.
        bool isInferred { false };
        TimePoint lastCrashAt;
        // When the suspicion ended after the last crash: with a response, or because a blocked part explains the crashes.
        std::optional<TimePoint> clearedAt;
        // The entry that may send the next probe. Empty if there is no claim.
        std::string probeEntry;
        TimePoint claimedAt;
        // The request of this entry that is or will be the probe, or 0.
        std::uint64_t probeRequester { 0 };
        TimePoint changedAt;
        // When a message last contained the record.
        std::optional<TimePoint> reportedAt;
        // Orders the records by their last crash, also of those that were in use at the same one.
        std::uint64_t crashNumber { 0 };
    };

    using Records = std::unordered_map<PromptPart, Record, PromptPartHash>;

    void countCrash(PromptPart part, TimePoint sentAt);
    void recordCause(gsl::span<const CrashCandidate> candidates);
    void blockSingleCauses();
    void clearExplained();
    bool isKnownSound(PromptPart part) const;
    bool isBlocked(const Record& record) const;
    bool hasOtherCause(gsl::span<const PromptPart> parts) const;
    RecentCrashes::Suspicion suspicionOf(PromptPart part) const;
    bool isRestricted(const Record& record) const;
    bool isClaimed(const Record& record) const;
    bool isExpired(const Record& record) const;
    TimePoint blockedUntil(const Record& record) const;
    std::uint32_t restrictionLimit(const Record& record) const;
    const Record* find(PromptPart part) const;
    Record* restrictedRecord(PromptPart part);
    Record& obtainRecord(PromptPart part);
    void makeRoom();
    void clear(PromptPart part, Record& record, TimePoint at, bool isSound, bool isLocal);
    void claimProbe(PromptPart part, Record& record, std::uint64_t requester);
    void applyReport(const SuspectReport& report);
    void applyClaim(Record& record, const SuspectReport& report);
    bool isNews(const Record& record) const;
    SuspectReport makeReport(PromptPart part, const Record& record) const;
    void notify(PromptPart part, const Record& record, bool isLocal) const;

    const Clock& clock_;
    std::string entryName_;
    QuarantineSettings settings_;
    Observer observer_;
    SoundParts soundParts_;
    Records records_;
    CrashCauses causes_;
    RecentCrashes recentCrashes_;
    // A part has been blocked, or a blocked part has crashed another server, since the last call of clearExplained().
    bool hasNewExplanation_ { false };
    std::uint64_t lastCrashNumber_ { 0 };
    bool isIsolated_ { false };
};

}

#include "PrefixAffinity/PrefixIndex.h"

#include <xxhash.h>

#include <algorithm>

namespace Damaskgrade {

namespace {

constexpr std::size_t bucketSize = 8;

// A server that restarts has another start time or address, so that its entries from before are not found again.
std::uint64_t startKey(const ServerRecord& server)
{
    std::uint64_t key = XXH64(server.id.data(), server.id.size(), static_cast<std::uint64_t>(server.startedAt));
    return XXH64(server.address.address.data(), server.address.address.size(), key ^ server.address.port);
}

std::uint64_t extendKey(std::uint64_t key, PromptPart part)
{
    std::uint64_t extended = XXH64(&part, sizeof(part), key);
    return extended == 0 ? 1 : extended;
}

}

PrefixIndex::PrefixIndex(const Clock& clock, PrefixIndexSettings settings)
    : clock_(clock)
    , settings_(settings)
    , entries_(std::max<std::size_t>(1, settings.maxEntries / bucketSize) * bucketSize)
{
    static_assert(sizeof(Entry) == 24, "PrefixIndexSettings states the size of an entry");
}

void PrefixIndex::recordSend(const ServerRecord& server, gsl::span<const PromptSegment> prompt)
{
    std::uint64_t key = startKey(server);
    for (const PromptSegment& segment : prompt) {
        key = extendKey(key, segment.part);
        Entry& entry = findOrCreate(key);
        auto emptied = emptiedAt_.find(server.id);
        bool isForgotten = emptied != emptiedAt_.end() && entry.usedAt <= emptied->second;
        bool isExpired = clock_.now() - entry.usedAt >= settings_.retention;
        if (entry.running == 0 && (isForgotten || isExpired))
            entry.isRead = false;
        ++entry.running;
        entry.usedAt = clock_.now();
    }
}

void PrefixIndex::recordFirstEvent(const ServerRecord& server, gsl::span<const PromptSegment> prompt)
{
    std::uint64_t key = startKey(server);
    for (const PromptSegment& segment : prompt) {
        key = extendKey(key, segment.part);
        if (Entry* entry = find(key)) {
            entry->isRead = true;
            entry->usedAt = clock_.now();
        }
    }
}

void PrefixIndex::recordEnd(const ServerRecord& server, gsl::span<const PromptSegment> prompt)
{
    std::uint64_t key = startKey(server);
    for (const PromptSegment& segment : prompt) {
        key = extendKey(key, segment.part);
        Entry* entry = find(key);
        // The entry may have been replaced since the request was sent.
        if (!entry || entry->running == 0)
            continue;
        --entry->running;
        bool isRetained = entry->isRead && settings_.retention > Duration::zero();
        if (entry->running == 0 && !isRetained)
            remove(*entry);
        else if (entry->isRead)
            entry->usedAt = clock_.now();
    }
}

void PrefixIndex::recordPressure(const ServerRecord& server, double share)
{
    if (share >= settings_.evictionPressure)
        emptiedAt_[server.id] = clock_.now();
}

void PrefixIndex::forget(std::string_view serverId)
{
    auto found = emptiedAt_.find(serverId);
    if (found != emptiedAt_.end())
        emptiedAt_.erase(found);
}

std::vector<HeldPart> PrefixIndex::held(const ServerRecord& server, gsl::span<const PromptSegment> prompt, double pressure) const
{
    std::vector<HeldPart> parts;
    auto emptied = emptiedAt_.find(server.id);
    TimePoint emptiedAt = emptied == emptiedAt_.end() ? TimePoint::min() : emptied->second;
    std::uint64_t key = startKey(server);
    double likelihood = 1;
    for (const PromptSegment& segment : prompt) {
        key = extendKey(key, segment.part);
        const Entry* entry = find(key);
        // A part cannot be used without the parts before it.
        likelihood = entry ? std::min(likelihood, likelihoodOf(*entry, emptiedAt, pressure)) : 0;
        if (likelihood <= 0)
            break;
        parts.push_back({ segment.tokens, likelihood, entry->running });
    }
    return parts;
}

double PrefixIndex::likelihoodOf(const Entry& entry, TimePoint emptiedAt, double pressure) const
{
    // The server is reading the prompt: on average half of it by the time the next request begins.
    constexpr double likelihoodUnread = 0.5;
    if (entry.running > 0)
        return entry.isRead ? 1 : likelihoodUnread;
    Duration age = clock_.now() - entry.usedAt;
    if (age >= settings_.retention || entry.usedAt <= emptiedAt)
        return 0;
    // The actual retention is assumed to be uniform between half of the longest one and all of it.
    double shareOfRetention = std::chrono::duration<double>(age) / std::chrono::duration<double>(settings_.retention);
    double likelihoodByAge = std::min(1.0, 2 * (1 - shareOfRetention));
    return likelihoodByAge * std::clamp(1 - pressure, 0.0, 1.0);
}

gsl::span<PrefixIndex::Entry> PrefixIndex::bucketOf(std::uint64_t key)
{
    std::size_t bucket = key % (entries_.size() / bucketSize);
    return gsl::span<Entry>(entries_).subspan(bucket * bucketSize, bucketSize);
}

gsl::span<const PrefixIndex::Entry> PrefixIndex::bucketOf(std::uint64_t key) const
{
    std::size_t bucket = key % (entries_.size() / bucketSize);
    return gsl::span<const Entry>(entries_).subspan(bucket * bucketSize, bucketSize);
}

PrefixIndex::Entry* PrefixIndex::find(std::uint64_t key)
{
    for (Entry& entry : bucketOf(key)) {
        if (entry.key == key)
            return &entry;
    }
    return nullptr;
}

const PrefixIndex::Entry* PrefixIndex::find(std::uint64_t key) const
{
    for (const Entry& entry : bucketOf(key)) {
        if (entry.key == key)
            return &entry;
    }
    return nullptr;
}

PrefixIndex::Entry& PrefixIndex::findOrCreate(std::uint64_t key)
{
    if (Entry* entry = find(key))
        return *entry;
    // Prefers unused entries, then those without running requests, then the one that was used first.
    auto isBetterVictim = [](const Entry& left, const Entry& right) {
        if ((left.key == 0) != (right.key == 0))
            return left.key == 0;
        if ((left.running == 0) != (right.running == 0))
            return left.running == 0;
        return left.usedAt < right.usedAt;
    };
    gsl::span<Entry> bucket = bucketOf(key);
    Entry& entry = *std::min_element(bucket.begin(), bucket.end(), isBetterVictim);
    if (entry.key == 0)
        ++entryCount_;
    else
        ++evictionCount_;
    entry = {};
    entry.key = key;
    return entry;
}

void PrefixIndex::remove(Entry& entry)
{
    entry = {};
    --entryCount_;
}

}

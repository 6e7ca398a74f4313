#pragma once

#include "Core/Clock.h"
#include "Fleet/ServerRecord.h"
#include "Forwarding/PromptSegment.h"

#include <gsl/span>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

struct PrefixIndexSettings {
    // The memory for this number of entries is allocated at once, 24 bytes each. An entry is a prompt prefix at one server.
    std::size_t maxEntries { 262144 };
    // Longest time that servers retain a prefix after the last request with it. Zero if they retain nothing.
    Duration retention { 0 };
    // A server whose running requests take this share of its memory has evicted what it retained.
    double evictionPressure { 0.9 };
};

// What is known about one part of a prompt at a server, given that all parts before it are held as well.
struct HeldPart {
    std::uint32_t tokens { 0 };
    // Probability that the server holds the part.
    double likelihood { 0 };
    // Number of requests with this prefix that this entry has in flight at the server.
    std::uint32_t running { 0 };
};

// Estimates which prompt prefixes backend servers hold, from the requests that this entry has sent to them. Each prefix is
// identified by a hash of the server's start and of all its parts. The entries are in a table of fixed size, in which a new one
// replaces the one of its bucket that has not been used for the longest time.
class PrefixIndex {
public:
    PrefixIndex(const Clock& clock, PrefixIndexSettings settings);

    // Records the request's start, the first event of its response, and its end. Each recordSend needs one recordEnd.
    void recordSend(const ServerRecord& server, gsl::span<const PromptSegment> prompt);
    void recordFirstEvent(const ServerRecord& server, gsl::span<const PromptSegment> prompt);
    void recordEnd(const ServerRecord& server, gsl::span<const PromptSegment> prompt);

    // Records which share of the server's memory its running requests take.
    void recordPressure(const ServerRecord& server, double share);

    // Forgets what is known of a server that has left.
    void forget(std::string_view serverId);

    // Returns the leading parts of the prompt that the server may hold. The share is that of its memory which running requests
    // take: what is retained besides them is the less likely to be there.
    std::vector<HeldPart> held(const ServerRecord& server, gsl::span<const PromptSegment> prompt, double pressure) const;

    std::size_t entryCount() const { return entryCount_; }
    std::size_t memoryBytes() const { return entries_.size() * sizeof(Entry); }
    std::uint64_t evictionCount() const { return evictionCount_; }

private:
    struct Entry {
        // 0 for an unused entry.
        std::uint64_t key { 0 };
        TimePoint usedAt;
        std::uint32_t running { 0 };
        // The server has begun to respond to a request with the prefix.
        bool isRead { false };
    };

    gsl::span<Entry> bucketOf(std::uint64_t key);
    gsl::span<const Entry> bucketOf(std::uint64_t key) const;
    Entry* find(std::uint64_t key);
    const Entry* find(std::uint64_t key) const;
    Entry& findOrCreate(std::uint64_t key);
    void remove(Entry& entry);
    double likelihoodOf(const Entry& entry, TimePoint emptiedAt, double pressure) const;

    const Clock& clock_;
    PrefixIndexSettings settings_;
    std::vector<Entry> entries_;
    std::size_t entryCount_ { 0 };
    std::uint64_t evictionCount_ { 0 };
    // When a server has evicted all that it retained, by the id of the server.
    std::map<std::string, TimePoint, std::less<>> emptiedAt_;
};

}

#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// One line of a decision log about a request, or about a state change near it.
struct HistoryEntry {
    // Wall-clock milliseconds since 1970, by the clock of the process.
    std::int64_t time { 0 };
    std::string process;
    std::string event;
    // The other fields as JSON text, in the order of the log.
    std::string fields;
};

// The log lines of several processes about one request.
struct RequestHistory {
    // Ordered by time.
    std::vector<HistoryEntry> entries;
    // State changes of the processes that handled the request, and mapChange and controlTaken events of all processes
    // and groups, from 5 s before the first line of the request to its last line.
    std::vector<HistoryEntry> nearbyEvents;
    // The most likely cause of the outcome, as a sentence.
    std::string cause;
    // The highest number of dropped lines that one of the processes that handled the request reported.
    std::int64_t droppedLines { 0 };
};

// Collects decision logs and finds the history of a request in them. Text before the first brace of a
// line is ignored, so that lines may have the prefix of a log collector.
class RequestHistoryReader {
public:
    void read(std::istream& log);

    RequestHistory find(std::string_view requestId) const;

private:
    struct Line {
        HistoryEntry entry;
        std::string request;
        std::string reason;
        std::string outcome;
        std::int64_t droppedLines { 0 };
        std::int64_t firstEventMs { -1 };
        std::int64_t longestPauseMs { -1 };
        std::int64_t waitedMs { 0 };
        std::int64_t callerAgeMs { 0 };
        std::int64_t status { 0 };
    };

    static std::string describeCause(const std::vector<const Line*>& lines, const std::vector<HistoryEntry>& nearbyEvents);

    std::vector<Line> lines_;
};

// Returns the history as text, one line per entry, with the cause last.
std::string formatHistory(std::string_view requestId, const RequestHistory& history);

}

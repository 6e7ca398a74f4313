#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// One line of a decision log that concerns a request, or the state of a process around it.
struct HistoryEntry {
    // Wall-clock milliseconds since 1970, by the clock of the process.
    std::int64_t time { 0 };
    std::string process;
    std::string event;
    // The other fields as JSON text, in the order of the log.
    std::string fields;
};

// What the logs of several processes say of one request.
struct RequestHistory {
    // In order of time.
    std::vector<HistoryEntry> entries;
    // Changes of state in the processes that handled the request, from shortly before it to its end.
    std::vector<HistoryEntry> nearbyEvents;
    // The most likely cause of how the request ended, as a sentence.
    std::string cause;
    // Lines that these processes left out.
    std::int64_t droppedLines { 0 };
};

// Collects decision logs and finds the history of a request in them. Text before the first brace of a
// line is ignored, so that logs may carry the prefixes of whatever collected them.
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

// Returns the history as text, one line an entry, the cause last.
std::string formatHistory(std::string_view requestId, const RequestHistory& history);

}

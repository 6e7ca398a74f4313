#pragma once

#include "Logging/RequestHistory.h"

#include <cstdint>
#include <istream>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// What the control of one model group did in a time.
struct GroupHistory {
    // Ordered by time: who controlled the group, and its plans and map changes.
    std::vector<HistoryEntry> entries;
    std::set<std::int64_t> terms;
    std::uint32_t takeovers { 0 };
    // How often an agent asked the controller because it missed its messages.
    std::uint32_t suspicions { 0 };
    std::uint32_t started { 0 };
    std::uint32_t completed { 0 };
    // Changes that ended otherwise, by the decision that ended them.
    std::map<std::string, std::uint32_t> ended;
    // From start to completion, in milliseconds.
    std::vector<std::int64_t> durations;
    // Orders that the engines did not accept, by result.
    std::map<std::string, std::uint32_t> failedOrders;
};

// Collects decision logs and finds in them what the control of a group did. Text before the first brace of a line is
// ignored, so that lines may have the prefix of a log collector.
class GroupHistoryReader {
public:
    void read(std::istream& log);

    // Returns the groups that the logs name.
    std::vector<std::string> groups() const;

    // Returns what happened from one time to another, in wall-clock milliseconds since 1970.
    GroupHistory find(std::string_view group, std::int64_t from, std::int64_t until) const;

private:
    struct Line {
        HistoryEntry entry;
        std::string group;
        std::string decision;
        std::string result;
        std::int64_t term { 0 };
        std::int64_t version { 0 };
    };

    std::vector<Line> lines_;
};

// Returns the history as text, one line per entry, with a summary last.
std::string formatGroupHistory(std::string_view group, const GroupHistory& history);

}

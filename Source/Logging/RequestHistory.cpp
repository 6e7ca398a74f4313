#include "Logging/RequestHistory.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace Damaskgrade {

using Json = nlohmann::ordered_json;

namespace {

// Changes of state this long before a request are shown with it.
constexpr std::int64_t surroundingMilliseconds = 5000;

bool isStateChange(const std::string& event)
{
    static const std::set<std::string> events { "started", "stopped", "shutdownStarted", "reloaded", "catalogInForce", "catalogSourceLost", "catalogSourceRegained",
        "registryLost", "registryRegained", "peerLost", "peerGained", "serverDrains", "serverGone", "mapChange", "controlTaken", "controlLost" };
    return events.count(event) != 0;
}

std::string formatEntry(const HistoryEntry& entry)
{
    return std::to_string(entry.time) + " " + entry.process + " " + entry.event + " " + entry.fields + "\n";
}

}

void RequestHistoryReader::read(std::istream& log)
{
    std::string text;
    while (std::getline(log, text)) {
        std::size_t brace = text.find('{');
        if (brace == std::string::npos)
            continue;
        Json json = Json::parse(text.substr(brace), nullptr, false);
        if (json.is_discarded() || !json.contains("ms") || !json.contains("event"))
            continue;
        Line line;
        line.entry.time = json.value("ms", std::int64_t { 0 });
        line.entry.process = json.value("process", "");
        line.entry.event = json.value("event", "");
        line.request = json.value("request", "");
        line.reason = json.value("reason", "");
        line.outcome = json.value("outcome", "");
        line.droppedLines = json.value("droppedLines", std::int64_t { 0 });
        line.firstEventMs = json.value("firstEventMs", std::int64_t { -1 });
        line.waitedMs = json.value("waitedMs", std::int64_t { 0 });
        line.callerAgeMs = json.value("callerAgeMs", std::int64_t { 0 });
        line.longestPauseMs = json.value("longestPauseMs", std::int64_t { -1 });
        line.status = json.value("status", std::int64_t { 0 });
        for (const char* name : { "ms", "process", "event", "request" })
            json.erase(name);
        line.entry.fields = json.dump();
        lines_.push_back(std::move(line));
    }
}

RequestHistory RequestHistoryReader::find(std::string_view requestId) const
{
    RequestHistory history;
    std::vector<const Line*> own;
    std::set<std::string> processes;
    for (const Line& line : lines_) {
        if (line.request != requestId)
            continue;
        own.push_back(&line);
        processes.insert(line.entry.process);
    }
    std::stable_sort(own.begin(), own.end(), [](const Line* left, const Line* right) { return left->entry.time < right->entry.time; });
    for (const Line* line : own)
        history.entries.push_back(line->entry);
    for (const Line& line : lines_) {
        if (processes.count(line.entry.process) != 0)
            history.droppedLines = std::max(history.droppedLines, line.droppedLines);
        bool isNear = !own.empty() && line.entry.time >= own.front()->entry.time - surroundingMilliseconds && line.entry.time <= own.back()->entry.time;
        bool isGroupChange = line.entry.event == "mapChange" || line.entry.event == "controlTaken";
        if (isNear && isStateChange(line.entry.event) && (isGroupChange || processes.count(line.entry.process) != 0))
            history.surroundings.push_back(line.entry);
    }
    std::stable_sort(history.surroundings.begin(), history.surroundings.end(), [](const HistoryEntry& left, const HistoryEntry& right) { return left.time < right.time; });
    history.cause = causeOf(own, history.surroundings);
    return history;
}

std::string RequestHistoryReader::causeOf(const std::vector<const Line*>& lines, const std::vector<HistoryEntry>& surroundings)
{
    if (lines.empty())
        return "no line of these logs names the request: it reached none of these processes, its success was not sampled, or its lines were left out";
    const Line& last = *lines.back();
    std::string failedAttempts;
    for (const Line* line : lines) {
        if (line->entry.event == "attemptEnded")
            failedAttempts += (failedAttempts.empty() ? "" : ", ") + line->reason;
    }
    std::string beside;
    if (!surroundings.empty())
        beside = "; beside it: " + surroundings.back().event + " at " + surroundings.back().process;
    if (last.entry.event == "requestRejected")
        return "rejected with status " + std::to_string(last.status) + ": " + last.reason + beside;
    if (last.outcome == "refused")
        return "refused as not executed: " + last.reason + (failedAttempts.empty() ? "" : " after " + failedAttempts) + beside;
    if (last.outcome == "streamCut")
        return "stream cut: " + last.reason + (failedAttempts.empty() ? "" : "; attempts ended by " + failedAttempts) + beside;
    if (last.outcome == "failed" || last.outcome == "serverFailure")
        return "failed: " + (failedAttempts.empty() ? last.reason : failedAttempts) + beside;
    if (last.outcome == "callerLeft")
        return "the caller left before the answer was complete" + beside;
    std::string delays = last.firstEventMs >= 0 ? "first event after " + std::to_string(last.firstEventMs) + " ms, longest pause " + std::to_string(last.longestPauseMs) + " ms" : "answered";
    if (last.waitedMs > 0)
        delays += ", waited " + std::to_string(last.waitedMs) + " ms for a server";
    if (last.callerAgeMs > 0)
        delays += ", first asked " + std::to_string(last.callerAgeMs) + " ms before";
    return delays + (failedAttempts.empty() ? "" : "; attempts before: " + failedAttempts) + beside;
}

std::string formatHistory(std::string_view requestId, const RequestHistory& history)
{
    std::string text = "request " + std::string(requestId) + "\n";
    for (const HistoryEntry& entry : history.entries)
        text += "  " + formatEntry(entry);
    if (!history.surroundings.empty())
        text += "state of its processes and of its group\n";
    for (const HistoryEntry& entry : history.surroundings)
        text += "  " + formatEntry(entry);
    if (history.droppedLines > 0)
        text += "these processes left out " + std::to_string(history.droppedLines) + " lines\n";
    return text + "cause: " + history.cause + "\n";
}

}

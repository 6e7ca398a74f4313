#include "Logging/RequestHistory.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace Damaskgrade {

using Json = nlohmann::ordered_json;

namespace {

// State changes up to this long before a request are shown with it.
constexpr std::int64_t nearbyWindowMilliseconds = 5000;

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
    std::vector<const Line*> requestLines;
    std::set<std::string> processes;
    for (const Line& line : lines_) {
        if (line.request != requestId)
            continue;
        requestLines.push_back(&line);
        processes.insert(line.entry.process);
    }
    std::stable_sort(requestLines.begin(), requestLines.end(), [](const Line* left, const Line* right) { return left->entry.time < right->entry.time; });
    for (const Line* line : requestLines)
        history.entries.push_back(line->entry);
    for (const Line& line : lines_) {
        if (processes.count(line.entry.process) != 0)
            history.droppedLines = std::max(history.droppedLines, line.droppedLines);
        bool isNear = !requestLines.empty() && line.entry.time >= requestLines.front()->entry.time - nearbyWindowMilliseconds && line.entry.time <= requestLines.back()->entry.time;
        bool isGroupChange = line.entry.event == "mapChange" || line.entry.event == "controlTaken";
        if (isNear && isStateChange(line.entry.event) && (isGroupChange || processes.count(line.entry.process) != 0))
            history.nearbyEvents.push_back(line.entry);
    }
    std::stable_sort(history.nearbyEvents.begin(), history.nearbyEvents.end(), [](const HistoryEntry& left, const HistoryEntry& right) { return left.time < right.time; });
    history.cause = describeCause(requestLines, history.nearbyEvents);
    return history;
}

std::string RequestHistoryReader::describeCause(const std::vector<const Line*>& lines, const std::vector<HistoryEntry>& nearbyEvents)
{
    if (lines.empty())
        return "no line of these logs names the request: it reached none of these processes, its success was not sampled, or its lines were left out";
    const Line& lastLine = *lines.back();
    std::string failedAttempts;
    for (const Line* line : lines) {
        if (line->entry.event == "attemptEnded")
            failedAttempts += (failedAttempts.empty() ? "" : ", ") + line->reason;
    }
    std::string nearbySuffix;
    if (!nearbyEvents.empty())
        nearbySuffix = "; beside it: " + nearbyEvents.back().event + " at " + nearbyEvents.back().process;
    if (lastLine.entry.event == "requestRejected")
        return "rejected with status " + std::to_string(lastLine.status) + ": " + lastLine.reason + nearbySuffix;
    if (lastLine.outcome == "refused")
        return "refused as not executed: " + lastLine.reason + (failedAttempts.empty() ? "" : " after " + failedAttempts) + nearbySuffix;
    if (lastLine.outcome == "streamCut")
        return "stream cut: " + lastLine.reason + (failedAttempts.empty() ? "" : "; attempts ended by " + failedAttempts) + nearbySuffix;
    if (lastLine.outcome == "failed" || lastLine.outcome == "serverFailure")
        return "failed: " + (failedAttempts.empty() ? lastLine.reason : failedAttempts) + nearbySuffix;
    if (lastLine.outcome == "callerLeft")
        return "the caller left before the answer was complete" + nearbySuffix;
    std::string delays = lastLine.firstEventMs >= 0 ? "first event after " + std::to_string(lastLine.firstEventMs) + " ms, longest pause " + std::to_string(lastLine.longestPauseMs) + " ms" : "answered";
    if (lastLine.waitedMs > 0)
        delays += ", waited " + std::to_string(lastLine.waitedMs) + " ms for a server";
    if (lastLine.callerAgeMs > 0)
        delays += ", first asked " + std::to_string(lastLine.callerAgeMs) + " ms before";
    return delays + (failedAttempts.empty() ? "" : "; attempts before: " + failedAttempts) + nearbySuffix;
}

std::string formatHistory(std::string_view requestId, const RequestHistory& history)
{
    std::string text = "request " + std::string(requestId) + "\n";
    for (const HistoryEntry& entry : history.entries)
        text += "  " + formatEntry(entry);
    if (!history.nearbyEvents.empty())
        text += "state of its processes and of its group\n";
    for (const HistoryEntry& entry : history.nearbyEvents)
        text += "  " + formatEntry(entry);
    if (history.droppedLines > 0)
        text += "these processes left out " + std::to_string(history.droppedLines) + " lines\n";
    return text + "cause: " + history.cause + "\n";
}

}

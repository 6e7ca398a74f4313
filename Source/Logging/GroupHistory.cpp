#include "Logging/GroupHistory.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace Damaskgrade {

using Json = nlohmann::ordered_json;

namespace {

bool isControlEvent(const std::string& event)
{
    static const std::set<std::string> events { "controlTaken", "controlLost", "controllerStoodStill", "controllerSuspected", "mapPlanned", "mapChange", "rankOrder" };
    return events.count(event) != 0;
}

// Returns whether the decision ends a change without its completion.
bool isFailure(const std::string& decision)
{
    static const std::set<std::string> decisions { "map was not loaded everywhere in time", "pass was not held in time", "pass begun, but not all ranks report the map", "group restarted" };
    return decisions.count(decision) != 0;
}

}

void GroupHistoryReader::read(std::istream& log)
{
    std::string text;
    while (std::getline(log, text)) {
        std::size_t brace = text.find('{');
        if (brace == std::string::npos)
            continue;
        Json json = Json::parse(text.substr(brace), nullptr, false);
        if (json.is_discarded() || !json.contains("ms") || !isControlEvent(json.value("event", "")))
            continue;
        Line line;
        line.entry.time = json.value("ms", std::int64_t { 0 });
        line.entry.process = json.value("process", "");
        line.entry.event = json.value("event", "");
        line.group = json.value("group", "");
        line.decision = json.value("decision", "");
        line.result = json.value("result", "");
        line.term = json.value("term", std::int64_t { 0 });
        line.version = json.value("version", std::int64_t { 0 });
        for (const char* name : { "ms", "process", "event", "group" })
            json.erase(name);
        line.entry.fields = json.dump();
        lines_.push_back(std::move(line));
    }
    std::stable_sort(lines_.begin(), lines_.end(), [](const Line& left, const Line& right) { return left.entry.time < right.entry.time; });
}

std::vector<std::string> GroupHistoryReader::groups() const
{
    std::set<std::string> names;
    for (const Line& line : lines_) {
        if (!line.group.empty())
            names.insert(line.group);
    }
    return { names.begin(), names.end() };
}

GroupHistory GroupHistoryReader::find(std::string_view group, std::int64_t from, std::int64_t until) const
{
    GroupHistory history;
    std::map<std::int64_t, std::int64_t> startedAt;
    for (const Line& line : lines_) {
        if (line.entry.time < from || line.entry.time > until)
            continue;
        // Lines about orders name the engine's agent and not the group.
        if (line.entry.event == "rankOrder") {
            if (line.result != "accepted")
                ++history.failedOrders[line.result];
            continue;
        }
        if (line.group != group)
            continue;
        history.entries.push_back(line.entry);
        if (line.term > 0)
            history.terms.insert(line.term);
        history.takeovers += line.entry.event == "controlTaken" ? 1 : 0;
        history.suspicions += line.entry.event == "controllerSuspected" ? 1 : 0;
        if (line.decision == "change started") {
            ++history.started;
            startedAt[line.version] = line.entry.time;
        } else if (line.decision == "change completed") {
            ++history.completed;
            if (startedAt.count(line.version) != 0)
                history.durations.push_back(line.entry.time - startedAt[line.version]);
        } else if (isFailure(line.decision)) {
            ++history.ended[line.decision];
        }
    }
    return history;
}

std::string formatGroupHistory(std::string_view group, const GroupHistory& history)
{
    std::string text;
    for (const HistoryEntry& entry : history.entries)
        text += std::to_string(entry.time) + " " + entry.process + " " + entry.event + " " + entry.fields + "\n";
    text += "group " + std::string(group) + ": " + std::to_string(history.terms.size()) + " terms, control taken " + std::to_string(history.takeovers) + " times, controller suspected "
        + std::to_string(history.suspicions) + " times; " + std::to_string(history.started) + " changes started, " + std::to_string(history.completed) + " completed";
    if (!history.durations.empty()) {
        std::int64_t sum = std::accumulate(history.durations.begin(), history.durations.end(), std::int64_t { 0 });
        text += " in " + std::to_string(sum / static_cast<std::int64_t>(history.durations.size())) + " ms on average, " + std::to_string(*std::max_element(history.durations.begin(), history.durations.end())) + " ms at most";
    }
    for (const auto& [decision, count] : history.ended)
        text += "; " + std::to_string(count) + " ended: " + decision;
    for (const auto& [result, count] : history.failedOrders)
        text += "; " + std::to_string(count) + " orders of all groups " + result;
    return text + "\n";
}

}

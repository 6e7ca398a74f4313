#include "Logging/DecisionLog.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace Damaskgrade {

LogLine::LogLine(std::string_view event)
{
    add("event", event);
}

LogLine& LogLine::add(std::string_view name, std::string_view value)
{
    text_ += ",\"" + std::string(name) + "\":";
    text_ += nlohmann::json(value).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    return *this;
}

LogLine& LogLine::add(std::string_view name, std::int64_t value)
{
    text_ += ",\"" + std::string(name) + "\":" + std::to_string(value);
    return *this;
}

LogLine& LogLine::add(std::string_view name, bool value)
{
    text_ += ",\"" + std::string(name) + "\":" + (value ? "true" : "false");
    return *this;
}

DecisionLog::DecisionLog(const Clock& clock, int descriptor, std::string process, DecisionLogSettings settings)
    : clock_(clock)
    , descriptor_(descriptor)
    , process_(nlohmann::json(process).dump())
    , settings_(settings)
    , tokens_(settings.burstLines)
    , refilledAt_(clock.now())
{
    int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void DecisionLog::write(const LogLine& line)
{
    std::int64_t wall = std::chrono::duration_cast<std::chrono::milliseconds>(clock_.wallNow().time_since_epoch()).count();
    std::string text = "{\"ms\":" + std::to_string(wall) + ",\"process\":" + process_ + line.fields();
    if (dropped_ != reportedDropped_)
        text += ",\"droppedLines\":" + std::to_string(dropped_);
    text += "}\n";
    if (!takeToken() || pending_.size() + text.size() > settings_.maxPendingBytes) {
        ++dropped_;
        return;
    }
    reportedDropped_ = dropped_;
    ++written_;
    pending_ += text;
    flush();
}

bool DecisionLog::shouldSampleSuccess()
{
    return ++successes_ % settings_.successSamplingInterval == 1;
}

void DecisionLog::flush()
{
    while (!pending_.empty()) {
        ssize_t count = ::write(descriptor_, pending_.data(), pending_.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        if (count <= 0) {
            // The error is permanent, such as a pipe without a reader, so the buffered bytes are discarded.
            ++dropped_;
            pending_.clear();
            return;
        }
        pending_.erase(0, static_cast<std::size_t>(count));
    }
}

bool DecisionLog::takeToken()
{
    TimePoint now = clock_.now();
    tokens_ = std::min(settings_.burstLines, tokens_ + std::chrono::duration<double>(now - refilledAt_).count() * settings_.linesPerSecond);
    refilledAt_ = now;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

}

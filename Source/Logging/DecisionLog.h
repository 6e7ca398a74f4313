#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Damaskgrade {

// One line of the log: a JSON object whose fields are added in order.
class LogLine {
public:
    explicit LogLine(std::string_view event);

    LogLine& add(std::string_view name, std::string_view value);
    LogLine& add(std::string_view name, const char* value) { return add(name, std::string_view(value)); }
    LogLine& add(std::string_view name, std::int64_t value);
    LogLine& add(std::string_view name, std::uint64_t value) { return add(name, static_cast<std::int64_t>(value)); }
    LogLine& add(std::string_view name, int value) { return add(name, static_cast<std::int64_t>(value)); }
    LogLine& add(std::string_view name, unsigned value) { return add(name, static_cast<std::int64_t>(value)); }
    LogLine& add(std::string_view name, bool value);

    const std::string& fields() const { return text_; }

private:
    std::string text_;
};

struct DecisionLogSettings {
    // Limits the log volume under load. Lines above the rate are dropped and counted.
    double linesPerSecond { 200 };
    // Maximum number of lines that may be written at once after a quiet period.
    double burstLines { 600 };
    // Maximum number of bytes that are buffered while the reader is slower than the log.
    std::size_t maxPendingBytes { 65536 };
    // One in this many plain successes is logged. A plain success is a request that succeeded on time with a single send.
    std::uint32_t successSamplingInterval { 20 };
};

// Writes structured lines to a file descriptor without ever blocking. Lines that exceed the rate or the buffer
// are dropped and counted. After a permanent write error, the buffered lines are discarded and counted as one
// dropped line.
class DecisionLog {
public:
    // Switches the descriptor to non-blocking mode.
    DecisionLog(const Clock& clock, int descriptor, std::string process, DecisionLogSettings settings = {});

    void write(const LogLine& line);

    // Counts a plain success and returns whether it should be logged. Each call counts, so call it once per plain success.
    bool shouldSampleSuccess();

    // Writes buffered bytes until the descriptor would block. Must be called periodically.
    void flush();

    std::uint64_t droppedLines() const { return dropped_; }
    std::uint64_t writtenLines() const { return written_; }

private:
    bool takeToken();

    const Clock& clock_;
    int descriptor_;
    std::string process_;
    DecisionLogSettings settings_;
    std::string pending_;
    double tokens_;
    TimePoint refilledAt_;
    std::uint64_t dropped_ { 0 };
    std::uint64_t reportedDropped_ { 0 };
    std::uint64_t written_ { 0 };
    std::uint32_t successes_ { 0 };
};

}

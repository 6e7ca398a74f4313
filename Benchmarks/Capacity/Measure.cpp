#include "Measure.h"

#include "Calls/CallMessages.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <malloc.h>

namespace Damaskgrade {

namespace {

constexpr double minRunSeconds = 0.05;
// Payloads of this size and above have an extended length field in the WebSocket header.
constexpr std::size_t longHeaderThreshold = 126;
// WebSocket header sizes including the 4-byte mask that a client adds.
constexpr std::size_t shortHeaderBytes = 6;
constexpr std::size_t longHeaderBytes = 8;

double threadCpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

}

void ProcessorTime::measure(const std::function<void()>& operation)
{
    double start = threadCpuSeconds();
    operation();
    seconds_ += threadCpuSeconds() - start;
}

double secondsPerCall(const std::function<void()>& operation)
{
    for (std::size_t count = 1;; count *= 2) {
        double start = threadCpuSeconds();
        for (std::size_t i = 0; i < count; ++i)
            operation();
        double elapsed = threadCpuSeconds() - start;
        if (elapsed >= minRunSeconds)
            return elapsed / static_cast<double>(count);
    }
}

std::size_t allocatedBytes()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::size_t wireBytesForSize(std::size_t size)
{
    return size + (size < longHeaderThreshold ? shortHeaderBytes : longHeaderBytes);
}

std::size_t wireBytes(const Frame& frame)
{
    return wireBytesForSize(encodeFrame(frame).size());
}

Frame encodeAndDecode(const Frame& frame)
{
    return decodeFrame(encodeFrame(frame));
}

double referenceFrameSeconds()
{
    TicketsMessage message;
    message.load.capacity = 32;
    return secondsPerCall([message] {
        Frame frame = encodeAndDecode(encodeMessage(message, 1));
        decodeTickets(frame.body);
    });
}

std::string formatCoreShare(double secondsPerSecond)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f%%", 100 * secondsPerSecond);
    return text;
}

}

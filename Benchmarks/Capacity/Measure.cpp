#include "Measure.h"

#include "Calls/CallMessages.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <malloc.h>

namespace Damaskgrade {

namespace {

constexpr double minRunSeconds = 0.05;
constexpr std::size_t shortFrame = 126;
// Header, with the mask that a client adds.
constexpr std::size_t shortHeader = 6;
constexpr std::size_t longHeader = 8;

double threadSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

}

void ProcessorTime::measure(const std::function<void()>& step)
{
    double start = threadSeconds();
    step();
    seconds_ += threadSeconds() - start;
}

double secondsPerCall(const std::function<void()>& step)
{
    for (std::size_t count = 1;; count *= 2) {
        double start = threadSeconds();
        for (std::size_t i = 0; i < count; ++i)
            step();
        double elapsed = threadSeconds() - start;
        if (elapsed >= minRunSeconds)
            return elapsed / static_cast<double>(count);
    }
}

std::size_t allocatedBytes()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::size_t wireBytesOf(std::size_t size)
{
    return size + (size < shortFrame ? shortHeader : longHeader);
}

std::size_t wireBytes(const Frame& frame)
{
    return wireBytesOf(encodeFrame(frame).size());
}

Frame transmit(const Frame& frame)
{
    return decodeFrame(encodeFrame(frame));
}

double referenceSeconds()
{
    TicketsMessage message;
    message.load.capacity = 32;
    return secondsPerCall([message] {
        Frame frame = transmit(encodeMessage(message, 1));
        decodeTickets(frame.body);
    });
}

std::string share(double secondsPerSecond)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f%%", 100 * secondsPerSecond);
    return text;
}

}

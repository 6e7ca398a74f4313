#pragma once

#include "Transport/Frame.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace Damaskgrade {

// Adds up the processor time of this thread between start and stop.
class ProcessorTime {
public:
    // Runs the step and adds its processor time.
    void measure(const std::function<void()>& operation);
    void add(double seconds) { seconds_ += seconds; }
    double seconds() const { return seconds_; }

private:
    double seconds_ { 0 };
};

// Returns the processor seconds that one call of the step takes, from runs of at least 50 ms together.
double secondsPerCall(const std::function<void()>& operation);

// Returns the bytes that the program holds from the allocator.
std::size_t allocatedBytes();

// Returns the bytes on the wire of an encoded frame of this size: with websocket header, without TCP and IP.
std::size_t wireBytesForSize(std::size_t size);

std::size_t wireBytes(const Frame& frame);

// Passes a frame through its encoding, as a link does.
Frame encodeAndDecode(const Frame& frame);

// Returns the processor seconds to encode and decode the reference frame, a load report.
double referenceFrameSeconds();

// Formats "0.123 %" of one core.
std::string formatCoreShare(double secondsPerSecond);

}

#pragma once

#include "Transport/Frame.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace Damaskgrade {

// Sums the processor time that this thread spends in measured operations.
class ProcessorTime {
public:
    // Runs the operation and adds its processor time.
    void measure(const std::function<void()>& operation);
    void add(double seconds) { seconds_ += seconds; }
    double seconds() const { return seconds_; }

private:
    double seconds_ { 0 };
};

// Returns the processor seconds of one call of the operation. Repeats the operation until all calls take at least 50 ms.
double secondsPerCall(const std::function<void()>& operation);

// Returns the number of bytes that this process has allocated from the heap.
std::size_t allocatedBytes();

// Returns the bytes on the wire of an encoded frame of this size in bytes. Includes the WebSocket header, but not
// the TCP and IP headers.
std::size_t wireBytesForSize(std::size_t size);

// Returns the bytes on the wire of this frame, counted as in wireBytesForSize.
std::size_t wireBytes(const Frame& frame);

// Encodes and decodes a frame, as sending it over a link does.
Frame encodeAndDecode(const Frame& frame);

// Returns the processor seconds to encode and decode a load report. Used as the reference for the speed of the machine.
double referenceFrameSeconds();

// Formats processor seconds per second as a percentage of one core, such as "12.345%".
std::string formatCoreShare(double secondsPerSecond);

}

#pragma once

#include "Transport/Frame.h"

#include <functional>
#include <memory>

namespace Damaskgrade {

// A websocket connection between two processes of the system.
class LinkSession {
public:
    virtual ~LinkSession() = default;

    // Queues a frame. Does nothing unless the session is open. The size is not checked here: the receiver closes the link
    // if the encoded frame exceeds maxFrameBytes.
    virtual void send(const Frame& frame) = 0;

    virtual void close() = 0;

    // Returns the number of bytes that are queued but not yet written to the socket.
    virtual std::size_t pendingBytes() const = 0;
};

// Callbacks of a link, called on the event loop thread. A session is open from onOpen to onClose.
struct LinkHandlers {
    std::function<void(const std::shared_ptr<LinkSession>&)> onOpen;
    std::function<void(const std::shared_ptr<LinkSession>&, const Frame&)> onFrame;
    std::function<void(const std::shared_ptr<LinkSession>&)> onClose;
};

struct LinkCounters {
    std::uint64_t opened { 0 };
    std::uint64_t closed { 0 };
    std::uint64_t framesSent { 0 };
    std::uint64_t framesReceived { 0 };
    std::uint64_t badFrames { 0 };
    // The number of links that were closed because the peer did not prove that it has a common key.
    std::uint64_t failedHandshakes { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t bytesReceived { 0 };
};

}

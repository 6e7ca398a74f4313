#pragma once

#include "Transport/Frame.h"

#include <functional>
#include <memory>

namespace Damaskgrade {

// One open websocket connection between two processes of the system.
class LinkSession {
public:
    virtual ~LinkSession() = default;

    // Queues a frame. Does nothing once the session has closed.
    virtual void send(const Frame& frame) = 0;

    virtual void close() = 0;

    // Bytes that are queued and not yet taken by the socket.
    virtual std::size_t pendingBytes() const = 0;
};

// Called on the event loop thread. A session is open from onOpen to onClose.
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
    // Links whose other side did not prove that it has a key.
    std::uint64_t failedHandshakes { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t bytesReceived { 0 };
};

}

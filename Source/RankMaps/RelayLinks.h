#pragma once

#include "Core/Clock.h"
#include "Transport/ProcessLinks.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Damaskgrade {

// Links over which an agent passes messages on to other agents. A link is opened with its first message and closed after
// a time without one.
class RelayLinks {
public:
    using FrameHandler = std::function<void(const Frame&)>;

    RelayLinks(const Clock& clock, const MakeProcessLinks& makeLinks, FrameHandler onFrame);

    // Sends the frame, or keeps it until the link is open, for a short time: a frame that arrives later would show a
    // controller that may be gone by then. Of the frames of one type only the last is kept.
    void send(const Endpoint& receiver, const Frame& frame);

    // Closes unused links. Must be called periodically.
    void closeUnused();

    std::size_t size() const { return receivers_.size(); }

private:
    struct PendingFrame {
        Frame frame;
        TimePoint since;
    };

    struct Receiver {
        Endpoint endpoint;
        TimePoint usedAt;
        // By type.
        std::map<std::string, PendingFrame> pending;
    };

    void setTargets();
    void sendPending(const std::string& name);

    const Clock& clock_;
    std::map<std::string, Receiver> receivers_;
    std::unique_ptr<ProcessLinks> links_;
};

}

#pragma once

#include "Core/Endpoint.h"
#include "Transport/EventLoop.h"
#include "Transport/EventStreamParser.h"
#include "Transport/HttpClient.h"

#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace Damaskgrade {

// A streamed completion that is read on a separate thread while the test continues.
class StreamedCall {
public:
    StreamedCall(const Endpoint& entry, const HttpRequest& request);
    ~StreamedCall();
    StreamedCall(const StreamedCall&) = delete;
    StreamedCall& operator=(const StreamedCall&) = delete;

    // Return the text of all events received so far, and the id of the last event.
    std::string text() const;
    std::string lastEventId() const;
    // Returns the agent named in the id of the last event, or an empty text before the first event.
    std::string agent() const;
    // Returns whether the response has ended or the connection was lost.
    bool hasEnded() const;
    // Returns whether the response has ended and included the final event.
    bool isComplete() const;

private:
    void readEvent(const ServerSentEvent& event);
    void end();

    EventLoop loop_;
    HttpClient client_;
    EventStreamParser parser_;
    std::unique_ptr<HttpCall> call_;
    mutable std::mutex mutex_;
    std::string text_;
    std::string lastEventId_;
    bool hasFinalEvent_ { false };
    bool hasEnded_ { false };
    std::thread thread_;
};

}

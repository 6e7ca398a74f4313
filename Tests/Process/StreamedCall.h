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

// A streamed completion, read on a thread of its own while the test goes on.
class StreamedCall {
public:
    StreamedCall(const Endpoint& entry, const HttpRequest& request);
    ~StreamedCall();
    StreamedCall(const StreamedCall&) = delete;
    StreamedCall& operator=(const StreamedCall&) = delete;

    // The text of all events so far, and the id of the last one.
    std::string text() const;
    std::string lastEventId() const;
    // The agent that the id of the last event names; empty before the first event.
    std::string agent() const;
    // The response has ended or the connection was lost.
    bool hasEnded() const;
    // The response has ended with the final event.
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

#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Damaskgrade {

// A request for a completion.
struct GenerationRequest {
    std::string requestId;
    std::string prompt;
    std::uint64_t maxTokens { 0 };
    std::int64_t priority { 0 };
    // The beginning of the completion, which the caller already has. The stream continues after it.
    std::string resumeText;
};

// Callbacks of a stream. Offsets and totals are bytes of the completion, including the resume text.
struct GenerationSink {
    std::function<void(std::uint64_t offset, const std::string& text)> onToken;
    std::function<void(std::uint64_t total)> onFinish;
    std::function<void(std::uint64_t total)> onCancel;
};

// The running and queued streams of an engine. Each step generates one token for every running stream.
class ContinuousBatch {
public:
    // capacity is the number of streams that run at the same time. prefillTime returns the time from the start of a
    // stream until its first token, and onToken is called for each generated token.
    ContinuousBatch(std::size_t capacity, std::function<Duration(const std::string& prompt)> prefillTime,
        std::function<void(const std::string& prompt, std::uint64_t tokenIndex)> onToken);

    // Adds a stream to the queue and returns its number.
    // Throws Error(MalformedRequest) if the completion of the prompt doesn't begin with the resume text.
    std::uint64_t add(const GenerationRequest& request, GenerationSink sink);

    // Removes a stream. Its sink isn't called any more.
    void remove(std::uint64_t stream);

    // Removes all streams of a request, calls onCancel of their sinks, and returns the number of streams.
    std::size_t cancel(const std::string& requestId);

    // Starts queued streams while there is capacity, highest priority first. Called before each step.
    void admitWaiting(TimePoint now);

    // Ends a step: generates one token for each running stream whose prefill is complete.
    void step(TimePoint now);

    bool isEmpty() const { return running_.empty() && waiting_.empty(); }
    std::size_t running() const { return running_.size(); }
    std::size_t queued() const { return waiting_.size(); }

    // Returns the request of a running stream, or null if no stream of this request is running.
    const GenerationRequest* findRunning(const std::string& requestId) const;

private:
    struct Stream {
        GenerationRequest request;
        GenerationSink sink;
        std::uint64_t nextToken { 0 };
        // The offset in the completion up to which the caller has the text.
        std::uint64_t sentBytes { 0 };
        // The total length of all tokens generated so far.
        std::uint64_t generatedBytes { 0 };
        TimePoint readyAt {};
    };

    void skipResumeText(Stream& stream) const;
    bool generateToken(Stream& stream);

    std::size_t capacity_;
    std::function<Duration(const std::string&)> prefillTime_;
    std::function<void(const std::string&, std::uint64_t)> onToken_;
    std::uint64_t lastStream_ { 0 };
    std::map<std::uint64_t, Stream> waiting_;
    std::map<std::uint64_t, Stream> running_;
};

}

#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Damaskgrade {

// A request to generate text.
struct GenerationRequest {
    std::string requestId;
    std::string prompt;
    std::uint64_t maxTokens { 0 };
    std::int64_t priority { 0 };
    // The start of the answer that the caller has already.
    std::string resumeText;
};

// Where a stream delivers its tokens.
struct GenerationSink {
    std::function<void(std::uint64_t offset, const std::string& text)> onToken;
    std::function<void(std::uint64_t total)> onFinish;
    std::function<void(std::uint64_t total)> onCancel;
};

// The streams of an engine. All running streams get one token in each step.
class ContinuousBatch {
public:
    // prefillTime gives the time until the first token of a prompt, when its stream gets a place.
    ContinuousBatch(std::size_t capacity, std::function<Duration(const std::string& prompt)> prefillTime,
        std::function<void(const std::string& prompt, std::uint64_t tokenIndex)> onToken);

    // Adds a stream to the queue and returns its number.
    // Throws Error(MalformedRequest) if the resume text is no start of the answer to the prompt.
    std::uint64_t add(const GenerationRequest& request, GenerationSink sink);

    // Frees the place of a stream. Nothing more is delivered to its sink.
    void remove(std::uint64_t stream);

    // Frees the places of all streams of a request, tells their sinks, and returns how many there were.
    std::size_t cancel(const std::string& requestId);

    // Gives places to waiting streams, highest priority first. Called before each step.
    void admitWaiting(TimePoint now);

    // Ends a step: each running stream whose prompt is processed gets one token.
    void step(TimePoint now);

    bool isEmpty() const { return running_.empty() && waiting_.empty(); }
    std::size_t running() const { return running_.size(); }
    std::size_t queued() const { return waiting_.size(); }

    // Returns the request of a running stream, or null.
    const GenerationRequest* findRunning(const std::string& requestId) const;

private:
    struct Stream {
        GenerationRequest request;
        GenerationSink sink;
        std::uint64_t nextToken { 0 };
        // The offset in the answer up to which the caller has the text.
        std::uint64_t sentBytes { 0 };
        // The bytes of all tokens generated so far.
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

#include "StandIns/ContinuousBatch.h"

#include "Core/Error.h"
#include "StandIns/GeneratedText.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

ContinuousBatch::ContinuousBatch(std::size_t capacity, std::function<Duration(const std::string&)> prefillTime,
    std::function<void(const std::string&, std::uint64_t)> onToken)
    : capacity_(capacity)
    , prefillTime_(std::move(prefillTime))
    , onToken_(std::move(onToken))
{
}

std::uint64_t ContinuousBatch::add(const GenerationRequest& request, GenerationSink sink)
{
    Stream stream;
    stream.request = request;
    stream.sink = std::move(sink);
    skipResumeText(stream);
    waiting_[++lastStream_] = std::move(stream);
    return lastStream_;
}

void ContinuousBatch::remove(std::uint64_t stream)
{
    waiting_.erase(stream);
    running_.erase(stream);
}

std::size_t ContinuousBatch::cancel(const std::string& requestId)
{
    std::vector<Stream> cancelled;
    for (std::map<std::uint64_t, Stream>* streams : { &waiting_, &running_ }) {
        for (auto stream = streams->begin(); stream != streams->end();) {
            bool matches = stream->second.request.requestId == requestId;
            if (matches)
                cancelled.push_back(std::move(stream->second));
            stream = matches ? streams->erase(stream) : std::next(stream);
        }
    }
    for (const Stream& stream : cancelled)
        stream.sink.onCancel(stream.sentBytes);
    return cancelled.size();
}

void ContinuousBatch::admitWaiting(TimePoint now)
{
    while (running_.size() < capacity_ && !waiting_.empty()) {
        // Streams of equal priority start in order of arrival.
        auto next = std::max_element(waiting_.begin(), waiting_.end(), [](const auto& left, const auto& right) {
            return left.second.request.priority < right.second.request.priority;
        });
        Stream stream = std::move(next->second);
        std::uint64_t number = next->first;
        waiting_.erase(next);
        stream.readyAt = now + prefillTime_(stream.request.prompt + stream.request.resumeText);
        running_[number] = std::move(stream);
    }
}

void ContinuousBatch::step(TimePoint now)
{
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, stream] : running_) {
        if (stream.readyAt <= now)
            numbers.push_back(number);
    }
    for (std::uint64_t number : numbers) {
        auto stream = running_.find(number);
        // A sink that was called before may have removed this stream.
        if (stream == running_.end() || generateToken(stream->second))
            continue;
        GenerationSink sink = std::move(stream->second.sink);
        std::uint64_t total = stream->second.generatedBytes;
        running_.erase(stream);
        sink.onFinish(total);
    }
}

const GenerationRequest* ContinuousBatch::findRunning(const std::string& requestId) const
{
    for (const auto& [number, stream] : running_) {
        if (stream.request.requestId == requestId)
            return &stream.request;
    }
    return nullptr;
}

void ContinuousBatch::skipResumeText(Stream& stream) const
{
    const std::string& text = stream.request.resumeText;
    while (stream.generatedBytes < text.size()) {
        bool hasToken = stream.nextToken < stream.request.maxTokens;
        std::string token = hasToken ? generatedToken(stream.request.prompt, stream.nextToken) : std::string();
        // The resume text may end within a token. The first step sends the rest of that token.
        std::string_view expected = std::string_view(token).substr(0, text.size() - stream.generatedBytes);
        if (!hasToken || text.compare(stream.generatedBytes, expected.size(), expected) != 0)
            throw Error(ResultCode::MalformedRequest, "resume_text is not the beginning of the completion of the prompt");
        if (expected.size() < token.size())
            break;
        stream.generatedBytes += token.size();
        ++stream.nextToken;
    }
    stream.sentBytes = text.size();
}

// Returns whether there are more tokens to generate.
bool ContinuousBatch::generateToken(Stream& stream)
{
    if (stream.nextToken < stream.request.maxTokens) {
        std::string token = generatedToken(stream.request.prompt, stream.nextToken);
        std::string unsent = token.substr(stream.sentBytes - stream.generatedBytes);
        stream.generatedBytes += token.size();
        onToken_(stream.request.prompt, stream.nextToken);
        ++stream.nextToken;
        stream.sink.onToken(stream.sentBytes, unsent);
        stream.sentBytes = stream.generatedBytes;
    }
    return stream.nextToken < stream.request.maxTokens;
}

}

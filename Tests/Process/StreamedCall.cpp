#include "Process/StreamedCall.h"

#include <nlohmann/json.hpp>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

constexpr std::chrono::seconds responseTimeout { 60 };

}

StreamedCall::StreamedCall(const Endpoint& entry, const HttpRequest& request)
    : client_(loop_, responseTimeout)
    , parser_([this](const ServerSentEvent& event) { readEvent(event); })
{
    HttpResponseHandlers handlers;
    handlers.onBody = [this](std::string_view part) { parser_.feed(part); };
    handlers.onEnd = [this] { end(); };
    handlers.onFailure = [this](const HttpFailure&) { end(); };
    call_ = client_.stream(entry, request, std::move(handlers));
    thread_ = std::thread([this] { loop_.run(); });
}

StreamedCall::~StreamedCall()
{
    loop_.post([this] { loop_.stop(); });
    thread_.join();
}

void StreamedCall::readEvent(const ServerSentEvent& event)
{
    std::lock_guard<std::mutex> lock(mutex_);
    if (event.data == "[DONE]") {
        hasFinalEvent_ = true;
        return;
    }
    if (event.id.empty() || !event.event.empty())
        return;
    text_ += Json::parse(event.data).at("choices").at(0).at("text").get<std::string>();
    lastEventId_ = event.id;
}

void StreamedCall::end()
{
    std::lock_guard<std::mutex> lock(mutex_);
    hasEnded_ = true;
}

std::string StreamedCall::text() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return text_;
}

std::string StreamedCall::lastEventId() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return lastEventId_;
}

std::string StreamedCall::agent() const
{
    std::string id = lastEventId();
    std::size_t first = id.find('/');
    return id.empty() ? "" : id.substr(first + 1, id.rfind('/') - first - 1);
}

bool StreamedCall::hasEnded() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return hasEnded_;
}

bool StreamedCall::isComplete() const
{
    std::lock_guard<std::mutex> lock(mutex_);
    return hasEnded_ && hasFinalEvent_;
}

}

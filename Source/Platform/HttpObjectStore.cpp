#include "Platform/HttpObjectStore.h"

#include <sstream>

namespace Damaskgrade {

namespace {

ResultCode statusOf(const HttpResponse& response)
{
    if (response.status == 200)
        return ResultCode::Ok;
    return response.status == 404 ? ResultCode::ObjectNotFound : ResultCode::ObjectStoreUnavailable;
}

std::vector<std::string> splitLines(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    std::string line;
    while (std::getline(stream, line))
        lines.push_back(line);
    return lines;
}

}

HttpObjectStore::HttpObjectStore(EventLoop& loop, const Endpoint& server, std::chrono::milliseconds timeout)
    : client_(loop, timeout)
    , server_(server)
{
}

void HttpObjectStore::put(const std::string& key, const std::string& value, std::function<void(ResultCode)> done)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = "/v1/objects/" + percentEncode(key);
    request.body = value;
    client_.send(
        server_, request,
        [done](const HttpResponse& response) { done(statusOf(response)); },
        [done](const HttpFailure&) { done(ResultCode::ObjectStoreUnavailable); });
}

void HttpObjectStore::get(const std::string& key, std::function<void(ResultCode, const std::string&)> done)
{
    HttpRequest request;
    request.target = "/v1/objects/" + percentEncode(key);
    client_.send(
        server_, request,
        [done](const HttpResponse& response) { done(statusOf(response), response.body); },
        [done](const HttpFailure&) { done(ResultCode::ObjectStoreUnavailable, ""); });
}

void HttpObjectStore::list(const std::string& prefix, std::function<void(ResultCode, const std::vector<std::string>&)> done)
{
    HttpRequest request;
    request.target = "/v1/objects?prefix=" + percentEncode(prefix);
    client_.send(
        server_, request,
        [done](const HttpResponse& response) { done(statusOf(response), splitLines(response.body)); },
        [done](const HttpFailure&) { done(ResultCode::ObjectStoreUnavailable, {}); });
}

}

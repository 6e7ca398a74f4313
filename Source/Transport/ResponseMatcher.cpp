#include "Transport/ResponseMatcher.h"

#include <gsl/span>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

// Bounds the memory of a connection.
constexpr std::size_t maxRequestsPerConnection = 256;

std::uint64_t hashOf(std::string_view id)
{
    return XXH64(id.data(), id.size(), 0);
}

bool contains(gsl::span<const std::uint64_t> hashes, std::uint64_t hash)
{
    return std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
}

}

ResponseMatcher::ResponseMatcher(std::string idHeader)
    : idHeader_(std::move(idHeader))
{
}

bool ResponseMatcher::canIdentify(const std::optional<std::string>& requestId) const
{
    return !requestId || !contains(sentIds_, hashOf(*requestId));
}

bool ResponseMatcher::isExhausted() const
{
    return requestCount_ >= maxRequestsPerConnection;
}

void ResponseMatcher::beginRequest(std::optional<std::string> requestId)
{
    currentId_ = std::move(requestId);
    ++requestCount_;
    if (currentId_)
        sentIds_.push_back(hashOf(*currentId_));
}

bool ResponseMatcher::accept(const HttpResponse& head, const std::function<bool(const HttpResponse&)>& mayLackId) const
{
    if (!currentId_)
        return true;
    if (std::optional<std::string> id = findHeader(head.headers, idHeader_))
        return *id == *currentId_;
    return requestCount_ == 1 && mayLackId && mayLackId(head);
}

bool ResponseMatcher::recordResponse(std::uint64_t hash)
{
    if (contains(responses_, hash))
        return false;
    responses_.push_back(hash);
    return true;
}

}

#pragma once

#include "Transport/HttpMessage.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// Determines whether a response on a connection belongs to the current request. A server may send a second copy of any
// response at any later time. If responses state the id of their request, the copy can be distinguished from the
// response to another request, but not from the response to the same request if that is sent again on the connection.
// If they state none, it can be distinguished by its content, as it equals an earlier response.
class ResponseMatcher {
public:
    explicit ResponseMatcher(std::string idHeader);

    // Returns whether the connection has carried as many requests as it may.
    bool isExhausted() const;

    // Returns whether the response to this request could be distinguished from those to all earlier requests on the
    // connection. Without an id, this is decided when the response has arrived.
    bool canIdentify(const std::optional<std::string>& requestId) const;

    // Sets the current request. canIdentify() must be true for it.
    void beginRequest(std::optional<std::string> requestId);

    // Returns whether a response with this head may belong to the current request. If the request has an id, a response
    // that states none may only if the request is the first one on the connection and mayLackId returns true.
    bool accept(const HttpResponse& head, const std::function<bool(const HttpResponse&)>& mayLackId) const;

    // Records the hash of a complete response to a request without an id. Returns false if an earlier response had the
    // same hash, so that this one may be a second copy of it.
    bool recordResponse(std::uint64_t hash);

    bool hasCurrentId() const { return currentId_.has_value(); }

private:
    std::string idHeader_;
    std::optional<std::string> currentId_;
    std::size_t requestCount_ { 0 };
    // Hashes of the ids of all requests on the connection. If two ids have the same hash, the second request uses
    // another connection.
    std::vector<std::uint64_t> sentIds_;
    std::vector<std::uint64_t> responses_;
};

}

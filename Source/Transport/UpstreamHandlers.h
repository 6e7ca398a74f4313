#pragma once

#include "Transport/HttpMessage.h"

#include <functional>
#include <string_view>

namespace Damaskgrade {

// Handlers for the response to one request. The last call is either onEnd or onFailure. A handler may close the
// connection.
struct UpstreamHandlers {
    // Called with status and headers; the body of the argument is empty.
    std::function<void(const HttpResponse&)> onHead;
    std::function<void(std::string_view)> onBody;
    // Called when the response is complete according to its framing. One without a length or chunks is complete when the server
    // ends the connection in order after it has received the whole request.
    std::function<void()> onEnd;
    // Called when the connection breaks, or when the received bytes are not a valid response to this request.
    std::function<void()> onFailure;
    // Returns whether a response that states no request id may be the one to this request. If it is not set, no such
    // response is.
    std::function<bool(const HttpResponse&)> mayLackId;
    // Called for each response that belongs to another request and is skipped. May be empty.
    std::function<void()> onSkipped;
};

}

#pragma once

#include "Transport/HttpMessage.h"

#include <functional>
#include <string_view>

namespace Damaskgrade {

// Handlers for the response to one request. The last call is either onEnd or onFailure.
struct UpstreamHandlers {
    // Called with status and headers; the body of the argument is empty. Returns false if the response belongs to
    // another request: it is then skipped, and onHead is called again for the next response on the connection.
    std::function<bool(const HttpResponse&)> onHead;
    std::function<void(std::string_view)> onBody;
    // Called when the response is complete according to its framing.
    std::function<void()> onEnd;
    // Called when the connection breaks, or when the received bytes are not a valid response.
    std::function<void()> onFailure;
};

}

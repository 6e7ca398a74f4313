#pragma once

#include "Core/Endpoint.h"
#include "Transport/HttpMessage.h"

#include <chrono>

namespace Damaskgrade {

// Sends one request and waits for its response.
// Throws Error(ConnectionFailed or Timeout) if there is none.
HttpResponse fetch(const Endpoint& server, const HttpRequest& request, std::chrono::milliseconds timeout);

}

#pragma once

#include "Core/Endpoint.h"
#include "Transport/HttpMessage.h"

#include <chrono>

namespace Damaskgrade {

// Sends one request and blocks until its response has arrived.
// Throws Error(ConnectionFailed or Timeout) if there is no response.
HttpResponse fetch(const Endpoint& server, const HttpRequest& request, std::chrono::milliseconds timeout);

}

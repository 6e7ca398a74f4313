#pragma once

#include "Core/Endpoint.h"
#include "Transport/HttpMessage.h"

namespace Damaskgrade {

// Sends a request and waits for the whole response. Status 0 means that no response arrived.
HttpResponse exchangeHttp(const Endpoint& server, const HttpRequest& request);

// Sends a POST request with a body, and waits as above.
HttpResponse postHttp(const Endpoint& server, const std::string& target, const std::string& body);

// Sends a GET request, and waits as above.
HttpResponse getHttp(const Endpoint& server, const std::string& target);

}

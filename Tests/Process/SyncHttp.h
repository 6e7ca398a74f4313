#pragma once

#include "Core/Endpoint.h"
#include "Transport/HttpMessage.h"

namespace Damaskgrade {

// Sends a request and waits for the complete response. Status 0 means that no response arrived within 30 s or the
// connection failed.
HttpResponse exchangeHttp(const Endpoint& server, const HttpRequest& request);

// Sends a POST request as exchangeHttp does.
HttpResponse postHttp(const Endpoint& server, const std::string& target, const std::string& body);

// Sends a GET request as exchangeHttp does.
HttpResponse getHttp(const Endpoint& server, const std::string& target);

}

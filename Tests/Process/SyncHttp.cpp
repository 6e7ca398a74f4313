#include "Process/SyncHttp.h"

#include "Transport/HttpClient.h"

namespace Damaskgrade {

namespace {

constexpr std::chrono::seconds responseTimeout { 30 };

}

HttpResponse exchangeHttp(const Endpoint& server, const HttpRequest& request)
{
    EventLoop loop;
    HttpClient client(loop, responseTimeout);
    HttpResponse result;
    result.status = 0;
    client.send(
        server, request,
        [&](const HttpResponse& response) {
            result = response;
            loop.stop();
        },
        [&](const HttpFailure&) { loop.stop(); });
    loop.run();
    return result;
}

HttpResponse postHttp(const Endpoint& server, const std::string& target, const std::string& body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.body = body;
    return exchangeHttp(server, request);
}

HttpResponse getHttp(const Endpoint& server, const std::string& target)
{
    HttpRequest request;
    request.target = target;
    return exchangeHttp(server, request);
}

}

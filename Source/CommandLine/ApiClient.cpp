#include "CommandLine/ApiClient.h"

#include "Core/Error.h"
#include "Transport/HttpClient.h"

#include <optional>

namespace Damaskgrade {

HttpResponse fetch(const Endpoint& server, const HttpRequest& request, std::chrono::milliseconds timeout)
{
    EventLoop loop;
    HttpClient client(loop, timeout);
    std::optional<HttpResponse> result;
    HttpFailure problem;
    client.send(
        server, request,
        [&](HttpResponse response) {
            result = std::move(response);
            loop.stop();
        },
        [&](const HttpFailure& failure) {
            problem = failure;
            loop.stop();
        });
    loop.run();
    if (!result)
        throw Error(problem.code, "no response from " + formatEndpoint(server));
    return *result;
}

}

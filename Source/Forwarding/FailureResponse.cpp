#include "Forwarding/FailureResponse.h"

#include "Forwarding/HeaderValues.h"

#include <string>

namespace Damaskgrade {

HttpResponse makeFailureResponse(const HeaderNames& names, std::string_view requestId, const RequestFailure& failure)
{
    HttpResponse response;
    response.status = failure.status;
    if (!requestId.empty())
        response.headers.push_back({ names.requestId, std::string(requestId) });
    if (failure.retryAfter)
        response.headers.push_back({ names.retryAfter, formatSeconds(*failure.retryAfter) });
    response.headers.push_back({ "Content-Type", "application/problem+json" });
    response.body = "{\"code\":" + std::to_string(resultNumber(failure.code)) + ",\"executed\":\"" + std::string(executedName(failure.executed)) + "\",\"detail\":\""
        + std::string(failure.detail) + "\"}";
    return response;
}

}

#include "Entry/ProblemDetails.h"

#include <nlohmann/json.hpp>

namespace Damaskgrade {

namespace {

constexpr int retryAfterSeconds = 1;

bool isRetryable(int status)
{
    return status == 503 || status == 429;
}

}

std::string problemBody(ResultCode code, Executed executed, std::string_view detail)
{
    nlohmann::json body;
    body["type"] = "about:blank";
    body["title"] = resultName(code);
    body["status"] = httpStatus(code);
    body["code"] = resultNumber(code);
    body["executed"] = executedName(executed);
    body["detail"] = detail;
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse problemResponse(ResultCode code, Executed executed, std::string_view detail)
{
    HttpResponse response;
    response.status = httpStatus(code);
    response.headers.push_back({ "Content-Type", "application/problem+json" });
    if (isRetryable(response.status))
        response.headers.push_back({ "Retry-After", std::to_string(retryAfterSeconds) });
    response.body = problemBody(code, executed, detail);
    return response;
}

}

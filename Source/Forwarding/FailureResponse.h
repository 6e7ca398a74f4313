#pragma once

#include "Core/ResultCode.h"
#include "Forwarding/HeaderNames.h"
#include "Transport/HttpMessage.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace Damaskgrade {

// Why the entry answers a request itself.
struct RequestFailure {
    int status { 0 };
    ResultCode code { ResultCode::Internal };
    Executed executed { Executed::No };
    std::string_view detail;
    // When the caller should come back, if it should.
    std::optional<std::chrono::milliseconds> retryAfter;
};

// Returns the response that tells a caller of the failure. The request id may be empty.
HttpResponse makeFailureResponse(const HeaderNames& names, std::string_view requestId, const RequestFailure& failure);

}

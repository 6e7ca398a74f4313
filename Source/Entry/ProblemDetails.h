#pragma once

#include "Core/ResultCode.h"
#include "Transport/HttpMessage.h"

#include <string>
#include <string_view>

namespace Damaskgrade {

// Returns the JSON body of an error response (RFC 9457) with the result number and whether the call was executed.
std::string problemBody(ResultCode code, Executed executed, std::string_view detail);

// Returns an error response. Statuses 429 and 503 include Retry-After, since a later attempt can succeed.
HttpResponse problemResponse(ResultCode code, Executed executed, std::string_view detail);

}

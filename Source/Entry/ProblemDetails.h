#pragma once

#include "Core/ResultCode.h"
#include "Transport/HttpMessage.h"

#include <string>
#include <string_view>

namespace Damaskgrade {

// Returns the JSON body of an error (RFC 9457) with its number and whether the call was executed.
std::string problemBody(ResultCode code, Executed executed, std::string_view detail);

// Returns an error as a response. Codes that a later try can overcome carry Retry-After.
HttpResponse problemResponse(ResultCode code, Executed executed, std::string_view detail);

}

#pragma once

#include "Core/ResultCode.h"

#include <stdexcept>
#include <string>

namespace Damaskgrade {

// An error with its numbered result code.
class Error : public std::runtime_error {
public:
    Error(ResultCode code, const std::string& message);

    ResultCode code() const { return code_; }

private:
    ResultCode code_;
};

}

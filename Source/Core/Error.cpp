#include "Core/Error.h"

namespace Damaskgrade {

Error::Error(ResultCode code, const std::string& message)
    : std::runtime_error(message)
    , code_(code)
{
}

}

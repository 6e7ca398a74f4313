#include "Forwarding/ResponseBuffers.h"

namespace Damaskgrade {

ResponseBuffers::ResponseBuffers(std::size_t limit)
    : limit_(limit)
{
}

bool ResponseBuffers::reserve(std::size_t bytes)
{
    if (bytes > limit_ - used_)
        return false;
    used_ += bytes;
    return true;
}

}

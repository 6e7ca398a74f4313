#include "Transport/ContentHash.h"

#include <xxhash.h>

namespace Damaskgrade {

ContentHash::ContentHash()
    : state_(XXH64_createState(), [](XXH64_state_s* state) { XXH64_freeState(state); })
{
    reset();
}

void ContentHash::reset()
{
    XXH64_reset(state_.get(), 0);
}

void ContentHash::add(std::string_view bytes)
{
    XXH64_update(state_.get(), bytes.data(), bytes.size());
}

std::uint64_t ContentHash::value() const
{
    return XXH64_digest(state_.get());
}

}

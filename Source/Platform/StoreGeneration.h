#pragma once

#include <cstdint>

namespace Damaskgrade {

// The history of a store that versions and revisions belong to. It rises each time that the store has lost acknowledged
// writes: the versions of the lost writes are then given to other writes, so versions of different generations can't be
// compared. 0 for a store that does not state it.
using StoreGeneration = std::uint64_t;

}

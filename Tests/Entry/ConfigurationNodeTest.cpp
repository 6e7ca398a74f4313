#include "Entry/ConfigurationNode.h"
#include "Configuration/ConfigurationRows.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

// Guards against an entry that counts another majority than its peers and goes on alone under an
// old version of the configuration.
TEST_CASE("an entry with other slots than the table takes no work")
{
    std::string row = encodeSlots({ "entry-1", "entry-2", "entry-3" });
    CHECK(findSlotsProblem({ "entry-3", "entry-1", "entry-2" }, row).empty());
    CHECK(!findSlotsProblem({ "entry-1" }, row).empty());
    CHECK(!findSlotsProblem({ "entry-1", "entry-2", "entry-4" }, row).empty());
    CHECK(!findSlotsProblem({ "entry-1" }, "no JSON").empty());
}

}

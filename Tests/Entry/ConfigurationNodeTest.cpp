#include "Entry/ConfigurationNode.h"
#include "Configuration/ConfigurationRows.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

// Guards against an entry that computes a different majority than its peers and continues alone with an
// outdated configuration version.
TEST_CASE("entry slots that differ from those in the table are reported as a problem")
{
    std::string row = encodeSlots({ "entry-1", "entry-2", "entry-3" });
    CHECK(findSlotsProblem({ "entry-3", "entry-1", "entry-2" }, row).empty());
    CHECK(!findSlotsProblem({ "entry-1" }, row).empty());
    CHECK(!findSlotsProblem({ "entry-1", "entry-2", "entry-4" }, row).empty());
    CHECK(!findSlotsProblem({ "entry-1" }, "no JSON").empty());
}

}

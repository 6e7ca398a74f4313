#include "Gateway/EntryAddresses.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

// Guards against callers that connect across zones, and against callers who have nowhere to turn when an entry fails.
TEST_CASE("callers get the entries of their zone if there are two, or all entries")
{
    Endpoint a1 { "10.0.0.1", 80 };
    Endpoint a2 { "10.0.0.2", 80 };
    Endpoint b1 { "10.1.0.1", 80 };
    std::vector<DirectoryEntry> entries { { a1, "a" }, { a2, "a" }, { b1, "b" } };
    CHECK(selectEntriesForCaller(entries, "a") == std::vector<Endpoint> { a1, a2 });
    CHECK(selectEntriesForCaller(entries, "b") == std::vector<Endpoint> { a1, a2, b1 });
    CHECK(selectEntriesForCaller(entries, "") == std::vector<Endpoint> { a1, a2, b1 });
    CHECK(selectEntriesForCaller({}, "a").empty());
}

}

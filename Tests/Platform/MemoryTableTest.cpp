#include "Platform/MemoryTable.h"
#include "Platform/TableJson.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

// Guards against transactions that are applied partially.
TEST_CASE("a transaction with one stale version writes nothing")
{
    MemoryTable table;
    REQUIRE(table.write({ { "a", "1", absentVersion } }).status == ResultCode::Ok);
    TableWriteResult result = table.write({ { "b", "1", absentVersion }, { "a", "2", absentVersion } });
    CHECK(result.status == ResultCode::TableConflict);
    CHECK(table.scan("").rows.size() == 1);
}

// Guards against version reuse: a writer that read a row before it was deleted and recreated must get a conflict.
TEST_CASE("a row that is deleted and recreated has a new version")
{
    MemoryTable table;
    table.write({ { "a", "1", std::nullopt } });
    RowVersion first = table.read({ "a" }).rows.front().version;
    table.write({ { "a", std::nullopt, std::nullopt } });
    table.write({ { "a", "1", std::nullopt } });
    CHECK(table.read({ "a" }).rows.front().version > first);
}

// Guards against removals and expected versions that are lost in the encoded request.
TEST_CASE("write requests survive encoding to JSON and decoding")
{
    std::vector<TableWrite> writes = decodeWriteRequest(encodeWriteRequest({ { "a", std::nullopt, 7 }, { "b", "x", std::nullopt } }));
    REQUIRE(writes.size() == 2);
    CHECK(!writes[0].value);
    CHECK(writes[0].expectedVersion == RowVersion(7));
    CHECK(writes[1].value == "x");
    CHECK(!writes[1].expectedVersion);
}

}

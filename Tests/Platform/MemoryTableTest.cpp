#include "Platform/MemoryTable.h"
#include "Platform/TableJson.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

// Guards against a transaction that is applied in part.
TEST_CASE("a transaction with one stale version writes nothing")
{
    MemoryTable table;
    REQUIRE(table.write({ { "a", "1", absentVersion } }).status == ResultCode::Ok);
    TableWriteResult result = table.write({ { "b", "1", absentVersion }, { "a", "2", absentVersion } });
    CHECK(result.status == ResultCode::TableConflict);
    CHECK(table.scan("").rows.size() == 1);
}

// Guards against a row that is deleted and written again and passes for the old one.
TEST_CASE("a row that is written again has a new version")
{
    MemoryTable table;
    table.write({ { "a", "1", std::nullopt } });
    RowVersion first = table.read({ "a" }).rows.front().version;
    table.write({ { "a", std::nullopt, std::nullopt } });
    table.write({ { "a", "1", std::nullopt } });
    CHECK(table.read({ "a" }).rows.front().version > first);
}

TEST_CASE("writes keep their JSON form")
{
    std::vector<TableWrite> writes = decodeWriteRequest(encodeWriteRequest({ { "a", std::nullopt, 7 }, { "b", "x", std::nullopt } }));
    REQUIRE(writes.size() == 2);
    CHECK(!writes[0].value);
    CHECK(writes[0].expectedVersion == RowVersion(7));
    CHECK(writes[1].value == "x");
    CHECK(!writes[1].expectedVersion);
}

}

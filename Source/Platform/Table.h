#pragma once

#include "Core/ResultCode.h"
#include "Platform/StoreGeneration.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

// The version of a row, which increases with each write to the row. absentVersion means that the row does not exist.
using RowVersion = std::uint64_t;
constexpr RowVersion absentVersion = 0;

struct TableRow {
    std::string key;
    std::string value;
    RowVersion version { absentVersion };
};

struct TableWrite {
    std::string key;
    // Without a value, the write deletes the row.
    std::optional<std::string> value;
    // If set, the transaction fails with TableConflict unless the row has this version.
    std::optional<RowVersion> expectedVersion;
};

// The result of a read or scan. The status is Ok or TableUnavailable.
struct TableReadResult {
    ResultCode status { ResultCode::TableUnavailable };
    // The requested rows that exist, or all rows that a scan found.
    std::vector<TableRow> rows;
    StoreGeneration generation { 0 };
};

// The result of a write. The status is Ok, TableConflict (nothing was written) or TableUnavailable
// (it is unknown whether the transaction was applied).
struct TableWriteResult {
    ResultCode status { ResultCode::TableUnavailable };
    StoreGeneration generation { 0 };
};

// The platform's transactional table service.
class Table {
public:
    virtual ~Table() = default;

    virtual void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) = 0;

    // Reads all rows whose keys start with the prefix, in key order.
    virtual void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) = 0;

    // Applies all writes in one transaction. Applies none of them if the transaction fails.
    virtual void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) = 0;
};

}

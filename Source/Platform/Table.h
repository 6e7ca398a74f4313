#pragma once

#include "Core/ResultCode.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

// A row's version, which each write to the row raises. absentVersion means that there is no row.
using RowVersion = std::uint64_t;
constexpr RowVersion absentVersion = 0;

struct TableRow {
    std::string key;
    std::string value;
    RowVersion version { absentVersion };
};

struct TableWrite {
    std::string key;
    // No value deletes the row.
    std::optional<std::string> value;
    // The write is refused unless the row has this version. No version writes in any case.
    std::optional<RowVersion> expectedVersion;
};

// Status of a read: Ok or TableUnavailable.
struct TableReadResult {
    ResultCode status { ResultCode::TableUnavailable };
    // One row for each key that was asked for and exists, or each row of a scan.
    std::vector<TableRow> rows;
};

// Status of a write: Ok, TableConflict (nothing was written), or TableUnavailable
// (the transaction may have been applied or not).
struct TableWriteResult {
    ResultCode status { ResultCode::TableUnavailable };
};

// The platform's transactional table service.
class Table {
public:
    virtual ~Table() = default;

    virtual void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) = 0;

    // Reads all rows whose keys start with the prefix, in key order.
    virtual void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) = 0;

    // Applies all writes in one transaction, or none.
    virtual void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) = 0;
};

}

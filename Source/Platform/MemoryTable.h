#pragma once

#include "Platform/Table.h"

#include <map>

namespace Damaskgrade {

// The rows of a transactional table in memory, for the stand-in and for tests.
class MemoryTable {
public:
    TableReadResult read(const std::vector<std::string>& keys) const;
    TableReadResult scan(const std::string& prefix) const;
    TableWriteResult write(const std::vector<TableWrite>& writes);

private:
    bool matches(const TableWrite& write) const;

    std::map<std::string, TableRow> rows_;
    // Versions rise over all rows, so that a row that is deleted and written again has a new one.
    RowVersion lastVersion_ { absentVersion };
};

}

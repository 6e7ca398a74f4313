#pragma once

#include "Platform/Table.h"

#include <map>

namespace Damaskgrade {

// An in-memory transactional table, used by the stand-in of the table service and by tests.
class MemoryTable {
public:
    TableReadResult read(const std::vector<std::string>& keys) const;
    TableReadResult scan(const std::string& prefix) const;
    TableWriteResult write(const std::vector<TableWrite>& writes);

private:
    bool matches(const TableWrite& write) const;

    std::map<std::string, TableRow> rows_;
    // The version counter is shared by all rows, so a row that is deleted and recreated gets a new version.
    RowVersion lastVersion_ { absentVersion };
};

}

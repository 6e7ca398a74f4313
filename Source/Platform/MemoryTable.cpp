#include "Platform/MemoryTable.h"

#include <algorithm>

namespace Damaskgrade {

TableReadResult MemoryTable::read(const std::vector<std::string>& keys) const
{
    TableReadResult result;
    result.status = ResultCode::Ok;
    for (const std::string& key : keys) {
        auto row = rows_.find(key);
        if (row != rows_.end())
            result.rows.push_back(row->second);
    }
    return result;
}

TableReadResult MemoryTable::scan(const std::string& prefix) const
{
    TableReadResult result;
    result.status = ResultCode::Ok;
    for (auto row = rows_.lower_bound(prefix); row != rows_.end(); ++row) {
        if (row->first.compare(0, prefix.size(), prefix) != 0)
            break;
        result.rows.push_back(row->second);
    }
    return result;
}

TableWriteResult MemoryTable::write(const std::vector<TableWrite>& writes)
{
    bool allMatch = std::all_of(writes.begin(), writes.end(), [this](const TableWrite& write) { return matches(write); });
    if (!allMatch)
        return { ResultCode::TableConflict };
    ++lastVersion_;
    for (const TableWrite& write : writes) {
        if (write.value)
            rows_[write.key] = { write.key, *write.value, lastVersion_ };
        else
            rows_.erase(write.key);
    }
    return { ResultCode::Ok };
}

bool MemoryTable::matches(const TableWrite& write) const
{
    if (!write.expectedVersion)
        return true;
    auto row = rows_.find(write.key);
    RowVersion version = row == rows_.end() ? absentVersion : row->second.version;
    return version == *write.expectedVersion;
}

}

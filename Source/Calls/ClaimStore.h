#pragma once

#include "Calls/ClaimRecord.h"
#include "Platform/Table.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

// Result of a claim write or read.
struct ClaimResult {
    // Ok: the row contains the written record, or the row was read. TableConflict: the write was not applied
    // and never will be. TableUnavailable: the row could not be read, or the write may have been applied or may
    // still be applied.
    ResultCode status { ResultCode::TableUnavailable };
    // The current record of the row, if it exists and could be read.
    std::optional<ClaimRecord> record;
};

using ClaimCallback = std::function<void(const ClaimResult&)>;

struct ClaimStoreSettings {
    // Maximum number of claims in one transaction. With 1, each claim is written separately.
    std::size_t maxBatch { 128 };
    // Maximum number of claims that wait for the current transaction. Further claims fail with TableUnavailable,
    // which limits the memory used while the table is slow.
    std::size_t maxQueued { 10000 };
};

struct ClaimStoreCounters {
    std::uint64_t writes { 0 };
    std::uint64_t rowsWritten { 0 };
    std::uint64_t reads { 0 };
    std::uint64_t lostAcknowledgements { 0 };
};

// Writes claim rows with conditional writes. Writes that are requested during a transaction are batched into the
// next one. After a conflict or a lost acknowledgement, the rows are read to find out which writes were applied.
class ClaimStore {
public:
    explicit ClaimStore(Table& table, ClaimStoreSettings settings = {});

    // Writes the record if the row contains the expected record, or does not exist if expected is empty.
    // Each record must differ from all other records of its row in owner, attempt, ticket or state, so that the
    // row shows whether the write was applied. done may be called before write returns.
    void write(const std::string& rowKey, const std::optional<ClaimRecord>& expected, const ClaimRecord& record, ClaimCallback done);

    void read(const std::string& rowKey, ClaimCallback done);

    const ClaimStoreCounters& counters() const;

private:
    struct State;

    // Shared with the callbacks of the table, which may be called after the store is destroyed.
    std::shared_ptr<State> state_;
};

}

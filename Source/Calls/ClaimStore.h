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

// The result of a claim write or read.
struct ClaimResult {
    // Ok: the row is as written (write) or was read (read). TableConflict: the write was not and never
    // will be applied. TableUnavailable: it is not known whether the write was or will be applied.
    ResultCode status { ResultCode::TableUnavailable };
    // The row as it is now, if it is known and exists.
    std::optional<ClaimRecord> record;
};

using ClaimCallback = std::function<void(const ClaimResult&)>;

struct ClaimStoreSettings {
    // Claims in one transaction. 1 writes each claim by itself.
    std::size_t maxBatch { 128 };
    // Claims that may wait for the transaction under way. More are refused as TableUnavailable,
    // which bounds the memory while the table is slow.
    std::size_t maxQueued { 10000 };
};

struct ClaimStoreCounters {
    std::uint64_t writes { 0 };
    std::uint64_t rowsWritten { 0 };
    std::uint64_t reads { 0 };
    std::uint64_t lostAcknowledgements { 0 };
};

// Writes claim rows by conditional writes. Writes that come while a transaction is under way are
// collected into the next one. After a lost acknowledgement the row is read and compared.
class ClaimStore {
public:
    explicit ClaimStore(Table& table, ClaimStoreSettings settings = {});

    // Writes the record if the row is as expected: absent if there is no expected record.
    // Each record must differ from all others of its row, by owner, attempt, ticket or state.
    // done may be called before write returns.
    void write(const std::string& rowKey, const std::optional<ClaimRecord>& expected, const ClaimRecord& record, ClaimCallback done);

    void read(const std::string& rowKey, ClaimCallback done);

    const ClaimStoreCounters& counters() const;

private:
    struct State;

    // Shared with the callbacks of the table, which may come after the store is gone.
    std::shared_ptr<State> state_;
};

}

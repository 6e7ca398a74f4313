#include "Calls/ClaimStore.h"

#include "Core/Error.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Damaskgrade {

namespace {

struct PendingWrite {
    std::string rowKey;
    std::optional<ClaimRecord> expected;
    ClaimRecord record;
    ClaimCallback done;
    // Version of the row that contains the expected record.
    RowVersion version { absentVersion };
};

using Batch = std::vector<PendingWrite>;

const TableRow* findRow(const TableReadResult& rows, const std::string& key)
{
    auto found = std::find_if(rows.rows.begin(), rows.rows.end(), [&key](const TableRow& row) { return row.key == key; });
    return found == rows.rows.end() ? nullptr : &*found;
}

// Returns TableUnavailable for a row that can't be decoded, because the state of its call is unknown.
ClaimResult resultOf(ResultCode status, const TableRow* row)
{
    ClaimResult result;
    try {
        if (row)
            result.record = decodeClaim(row->value);
        result.status = status;
    } catch (const Error&) {
        result.status = ResultCode::TableUnavailable;
    }
    return result;
}

std::vector<std::string> rowKeys(const Batch& batch)
{
    std::vector<std::string> keys;
    keys.reserve(batch.size());
    for (const PendingWrite& write : batch)
        keys.push_back(write.rowKey);
    return keys;
}

}

struct ClaimStore::State : std::enable_shared_from_this<ClaimStore::State> {
    State(Table& usedTable, ClaimStoreSettings usedSettings)
        : table(usedTable)
        , settings(usedSettings)
    {
    }

    void startNextBatch();
    void finishBatch();
    Batch takeBatch();
    void readVersions(Batch batch);
    void checkVersions(Batch batch, const TableReadResult& rows);
    void writeBatch(Batch batch);
    void readBack(Batch batch, ResultCode writeStatus);
    bool settleWrite(const PendingWrite& write, ResultCode writeStatus, const TableReadResult& rows);
    void reportAll(const Batch& batch, const ClaimResult& result);

    Table& table;
    ClaimStoreSettings settings;
    ClaimStoreCounters counters;
    std::deque<PendingWrite> queue;
    bool isBusy { false };
};

ClaimStore::ClaimStore(Table& table, ClaimStoreSettings settings)
    : state_(std::make_shared<State>(table, settings))
{
}

void ClaimStore::write(const std::string& rowKey, const std::optional<ClaimRecord>& expected, const ClaimRecord& record, ClaimCallback done)
{
    if (state_->queue.size() >= state_->settings.maxQueued) {
        done(ClaimResult());
        return;
    }
    PendingWrite write;
    write.rowKey = rowKey;
    write.expected = expected;
    write.record = record;
    write.done = std::move(done);
    state_->queue.push_back(std::move(write));
    state_->startNextBatch();
}

void ClaimStore::read(const std::string& rowKey, ClaimCallback done)
{
    ++state_->counters.reads;
    state_->table.read({ rowKey }, [rowKey, done](const TableReadResult& rows) {
        done(rows.status == ResultCode::Ok ? resultOf(ResultCode::Ok, findRow(rows, rowKey)) : ClaimResult());
    });
}

const ClaimStoreCounters& ClaimStore::counters() const
{
    return state_->counters;
}

void ClaimStore::State::startNextBatch()
{
    if (isBusy || queue.empty())
        return;
    isBusy = true;
    readVersions(takeBatch());
}

// Called after the results of a batch are reported, so that writes which the callbacks queue share the next batch.
void ClaimStore::State::finishBatch()
{
    isBusy = false;
    startNextBatch();
}

Batch ClaimStore::State::takeBatch()
{
    Batch batch;
    std::deque<PendingWrite> later;
    std::set<std::string> rows;
    while (!queue.empty() && batch.size() < settings.maxBatch) {
        // A transaction can't contain two conditional writes to the same row. The later write waits for a later batch.
        if (rows.insert(queue.front().rowKey).second)
            batch.push_back(std::move(queue.front()));
        else
            later.push_back(std::move(queue.front()));
        queue.pop_front();
    }
    queue.insert(queue.begin(), std::make_move_iterator(later.begin()), std::make_move_iterator(later.end()));
    return batch;
}

// Reads the versions of the rows that are replaced, because the table does not return the version of a written row.
void ClaimStore::State::readVersions(Batch batch)
{
    Batch replacements;
    std::copy_if(batch.begin(), batch.end(), std::back_inserter(replacements), [](const PendingWrite& write) { return write.expected.has_value(); });
    if (replacements.empty()) {
        writeBatch(std::move(batch));
        return;
    }
    ++counters.reads;
    table.read(rowKeys(replacements), [state = shared_from_this(), batch](const TableReadResult& rows) {
        state->checkVersions(batch, rows);
    });
}

void ClaimStore::State::checkVersions(Batch batch, const TableReadResult& rows)
{
    Batch ready;
    std::vector<std::pair<ClaimCallback, ClaimResult>> refused;
    for (PendingWrite& write : batch) {
        if (!write.expected) {
            ready.push_back(std::move(write));
            continue;
        }
        const TableRow* row = findRow(rows, write.rowKey);
        // The write was not sent, so it will never be applied. If the row could not be read, the conflict is not
        // proven and the result is TableUnavailable.
        ClaimResult found = rows.status == ResultCode::Ok ? resultOf(ResultCode::TableConflict, row) : ClaimResult();
        if (found.status == ResultCode::TableConflict && row && *found.record == *write.expected) {
            write.version = row->version;
            ready.push_back(std::move(write));
        } else
            refused.emplace_back(std::move(write.done), found);
    }
    for (const auto& entry : refused)
        entry.first(entry.second);
    if (ready.empty())
        finishBatch();
    else
        writeBatch(std::move(ready));
}

void ClaimStore::State::writeBatch(Batch batch)
{
    std::vector<TableWrite> writes;
    writes.reserve(batch.size());
    for (const PendingWrite& write : batch)
        writes.push_back({ write.rowKey, encodeClaim(write.record), write.version });
    ++counters.writes;
    counters.rowsWritten += writes.size();
    table.write(writes, [state = shared_from_this(), batch](const TableWriteResult& result) {
        if (result.status == ResultCode::Ok) {
            for (const PendingWrite& write : batch)
                write.done({ ResultCode::Ok, write.record });
            state->finishBatch();
            return;
        }
        if (result.status != ResultCode::TableConflict)
            ++state->counters.lostAcknowledgements;
        state->readBack(batch, result.status);
    });
}

void ClaimStore::State::readBack(Batch batch, ResultCode writeStatus)
{
    ++counters.reads;
    table.read(rowKeys(batch), [state = shared_from_this(), batch, writeStatus](const TableReadResult& rows) {
        if (rows.status != ResultCode::Ok)
            state->reportAll(batch, ClaimResult());
        else {
            Batch undecided;
            for (const PendingWrite& write : batch) {
                if (!state->settleWrite(write, writeStatus, rows))
                    undecided.push_back(write);
            }
            state->queue.insert(state->queue.begin(), undecided.begin(), undecided.end());
        }
        state->finishBatch();
    });
}

// Reports the result of one write of a batch that conflicted or was not acknowledged, based on the current row.
// Reports nothing and returns false if another write of the batch caused the conflict and this one can be retried.
bool ClaimStore::State::settleWrite(const PendingWrite& write, ResultCode writeStatus, const TableReadResult& rows)
{
    const TableRow* row = findRow(rows, write.rowKey);
    ClaimResult found = resultOf(ResultCode::TableConflict, row);
    if (found.record && *found.record == write.record) {
        found.status = ResultCode::Ok;
        write.done(found);
        return true;
    }
    RowVersion version = row ? row->version : absentVersion;
    bool isAsExpected = version == write.version;
    if (isAsExpected && writeStatus == ResultCode::TableConflict)
        return false;
    // After a lost acknowledgement the table may still apply the write, because the row is as expected.
    if (isAsExpected)
        found.status = ResultCode::TableUnavailable;
    write.done(found);
    return true;
}

void ClaimStore::State::reportAll(const Batch& batch, const ClaimResult& result)
{
    for (const PendingWrite& write : batch)
        write.done(result);
}

}

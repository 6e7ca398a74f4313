#include "Configuration/ConfigurationStore.h"

#include "Core/Error.h"

namespace Damaskgrade {

namespace {

// Older documents are deleted. Entries that are behind need only the newest document; the others
// are the history that operators read.
constexpr ConfigurationVersion retainedVersions = 200;

const TableRow* findRow(const TableReadResult& result, const std::string& key)
{
    for (const TableRow& row : result.rows) {
        if (row.key == key)
            return &row;
    }
    return nullptr;
}

template <typename Value>
std::optional<Value> findAndDecodeRow(const TableReadResult& result, const std::string& key, Value (*decode)(std::string_view))
{
    const TableRow* row = findRow(result, key);
    if (result.status != ResultCode::Ok || !row)
        return std::nullopt;
    try {
        return decode(row->value);
    } catch (const Error&) {
        return std::nullopt;
    }
}

std::optional<HeadState> decodeHeadState(const TableReadResult& result, TimePoint sentAt)
{
    std::optional<HeadRow> row = findAndDecodeRow(result, headKey, decodeHead);
    if (!row)
        return std::nullopt;
    return HeadState { *row, findRow(result, headKey)->version, sentAt };
}

}

ConfigurationStore::ConfigurationStore(Table& table, const Clock& clock)
    : table_(table)
    , clock_(clock)
{
}

void ConfigurationStore::readHead(std::function<void(const std::optional<HeadState>&)> done)
{
    std::weak_ptr<int> lifetime = lifetime_;
    TimePoint sentAt = clock_.now();
    table_.read({ headKey }, [lifetime, sentAt, done = std::move(done)](const TableReadResult& result) {
        if (lifetime.lock())
            done(decodeHeadState(result, sentAt));
    });
}

void ConfigurationStore::readDocument(ConfigurationVersion version, std::function<void(const std::optional<CommittedDocument>&)> done)
{
    std::weak_ptr<int> lifetime = lifetime_;
    std::string key = documentKey(version);
    table_.read({ key }, [lifetime, key, done = std::move(done)](const TableReadResult& result) {
        if (lifetime.lock())
            done(findAndDecodeRow(result, key, decodeDocumentRow));
    });
}

void ConfigurationStore::readOutcome(ConfigurationVersion version, std::function<void(const std::optional<CommitOutcome>&)> done)
{
    std::weak_ptr<int> lifetime = lifetime_;
    TimePoint sentAt = clock_.now();
    std::string key = documentKey(version);
    table_.read({ headKey, key }, [lifetime, sentAt, key, done = std::move(done)](const TableReadResult& result) {
        if (!lifetime.lock())
            return;
        std::optional<HeadState> head = decodeHeadState(result, sentAt);
        if (!head)
            return done(std::nullopt);
        std::optional<CommittedDocument> document = findAndDecodeRow(result, key, decodeDocumentRow);
        done(CommitOutcome { *head, document ? std::optional(document->changeId) : std::nullopt });
    });
}

void ConfigurationStore::commit(const HeadState& head, const CommittedDocument& document, std::function<void(ResultCode)> done)
{
    std::weak_ptr<int> lifetime = lifetime_;
    HeadRow row { document.version, head.row.inForce, document.changeId };
    std::vector<TableWrite> writes {
        { headKey, encodeHead(row), head.rowVersion },
        { documentKey(document.version), encodeDocumentRow(document), absentVersion },
    };
    if (document.version > retainedVersions)
        writes.push_back({ documentKey(document.version - retainedVersions), std::nullopt, std::nullopt });
    table_.write(writes, [lifetime, done = std::move(done)](const TableWriteResult& result) {
        if (lifetime.lock())
            done(result.status);
    });
}

void ConfigurationStore::markInForce(const HeadState& head, ConfigurationVersion version, std::function<void(ResultCode)> done)
{
    std::weak_ptr<int> lifetime = lifetime_;
    HeadRow row = head.row;
    row.inForce = version;
    table_.write({ { headKey, encodeHead(row), head.rowVersion } }, [lifetime, done = std::move(done)](const TableWriteResult& result) {
        if (lifetime.lock())
            done(result.status);
    });
}

void ConfigurationStore::commitAgain(const HeadState& head, const CommittedDocument& document, ConfigurationVersion inForce, std::function<void(ResultCode)> done)
{
    std::weak_ptr<int> lifetime = lifetime_;
    HeadRow row { document.version, inForce, document.changeId };
    std::vector<TableWrite> writes {
        { headKey, encodeHead(row), head.rowVersion },
        { documentKey(document.version), encodeDocumentRow(document), std::nullopt },
    };
    table_.write(writes, [lifetime, done = std::move(done)](const TableWriteResult& result) {
        if (lifetime.lock())
            done(result.status);
    });
}

}

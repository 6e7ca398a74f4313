#include "Gateway/QuarantineRows.h"

#include <glog/logging.h>
#include <gsl/span>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::string_view rowPrefix = "quarantine/";
constexpr int hexadecimal = 16;
// A transaction of the platform's table holds at most 100 writes.
constexpr std::size_t maxRowsPerWrite = 50;
// Far more parts than crash servers. Beyond this, a row may be missing after the table has lost writes.
constexpr std::size_t maxUpdatedParts = 256;

std::string rowKey(PromptPart part)
{
    return std::string(rowPrefix) + formatPromptParts(gsl::make_span(&part, 1));
}

std::int64_t wallMilliseconds(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

}

QuarantineRows::QuarantineRows(EventLoop& loop, const Clock& clock, Table& table, PromptQuarantine& quarantine, QuarantineRowsSettings settings)
    : loop_(loop)
    , clock_(clock)
    , table_(table)
    , quarantine_(quarantine)
    , settings_(settings)
{
    read();
}

void QuarantineRows::read()
{
    std::weak_ptr<int> alive = alive_;
    table_.scan(std::string(rowPrefix), [this, alive](const TableReadResult& result) {
        if (alive.expired())
            return;
        if (result.status == ResultCode::Ok)
            handleRows(result.rows);
        else
            readTimer_ = loop_.after(settings_.retryDelay, [this] { read(); });
    });
}

void QuarantineRows::handleRows(const std::vector<TableRow>& rows)
{
    std::vector<SuspectReport> reports;
    for (const TableRow& row : rows) {
        SuspectReport report;
        std::string_view digits = std::string_view(row.key).substr(rowPrefix.size());
        std::from_chars_result key = std::from_chars(digits.data(), digits.data() + digits.size(), report.part, hexadecimal);
        std::int64_t lastCrash = 0;
        std::istringstream value(row.value);
        if (key.ec != std::errc() || !(value >> report.crashes >> report.wasSound >> lastCrash)) {
            // Any process can write to the table.
            LOG(WARNING) << "ignored the malformed table row " << row.key;
            continue;
        }
        // The time of day may have been set back since.
        report.lastCrashAge = std::chrono::milliseconds(std::max<std::int64_t>(0, wallMilliseconds(clock_.wallNow()) - lastCrash));
        if (report.lastCrashAge > settings_.maxAge)
            expiredKeys_.push_back(row.key);
        else
            reports.push_back(report);
    }
    quarantine_.applyReports(reports);
    write();
}

void QuarantineRows::update(PromptPart part)
{
    pending_.insert(part);
    updated_.insert(part);
    if (updated_.size() > maxUpdatedParts)
        updated_.erase(*updated_.begin() == part ? std::next(updated_.begin()) : updated_.begin());
    write();
}

void QuarantineRows::writeAgain()
{
    pending_.insert(updated_.begin(), updated_.end());
    write();
}

TableWrite QuarantineRows::makeWrite(PromptPart part) const
{
    std::optional<SuspectReport> report = quarantine_.report(part);
    if (!report || report->crashes == 0)
        return { rowKey(part), std::nullopt, std::nullopt };
    std::int64_t lastCrash = wallMilliseconds(clock_.wallNow()) - report->lastCrashAge.count();
    return { rowKey(part), std::to_string(report->crashes) + (report->wasSound ? " 1 " : " 0 ") + std::to_string(lastCrash), std::nullopt };
}

void QuarantineRows::write()
{
    if (isWriting_ || (pending_.empty() && expiredKeys_.empty()))
        return;
    std::vector<TableWrite> writes;
    std::vector<PromptPart> parts;
    for (auto part = pending_.begin(); part != pending_.end() && writes.size() < maxRowsPerWrite; ++part) {
        writes.push_back(makeWrite(*part));
        parts.push_back(*part);
    }
    std::size_t expired = std::min(expiredKeys_.size(), maxRowsPerWrite);
    for (std::size_t i = 0; i < expired; ++i)
        writes.push_back({ expiredKeys_[i], std::nullopt, std::nullopt });
    for (PromptPart part : parts)
        pending_.erase(part);
    isWriting_ = true;
    std::weak_ptr<int> alive = alive_;
    table_.write(writes, [this, alive, parts, expired](const TableWriteResult& result) {
        if (alive.expired())
            return;
        isWriting_ = false;
        if (result.status == ResultCode::Ok) {
            expiredKeys_.erase(expiredKeys_.begin(), expiredKeys_.begin() + static_cast<std::ptrdiff_t>(expired));
            write();
            return;
        }
        pending_.insert(parts.begin(), parts.end());
        writeTimer_ = loop_.after(settings_.retryDelay, [this] { write(); });
    });
}

}

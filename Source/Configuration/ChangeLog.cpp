#include "Configuration/ChangeLog.h"

#include "Core/Error.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

constexpr std::size_t maxRecords = 500;

}

std::string_view changeStateName(ChangeState state)
{
    switch (state) {
    case ChangeState::Proposed:
        return "proposed";
    case ChangeState::Refused:
        return "refused";
    case ChangeState::Undecided:
        return "undecided";
    case ChangeState::Committed:
        return "committed";
    case ChangeState::Accepted:
        return "accepted";
    }
    return "unknown";
}

ChangeLog::ChangeLog(const Clock& clock)
    : clock_(clock)
{
}

void ChangeLog::add(const std::string& id, const std::string& section, const std::string& team)
{
    ChangeRecord record;
    record.id = id;
    record.section = section;
    record.team = team;
    append(std::move(record));
}

void ChangeLog::addRemoteChange(const CommittedDocument& document)
{
    if (findOrNull(document.changeId))
        return;
    ChangeRecord record;
    record.id = document.changeId;
    record.section = document.section;
    record.version = document.version;
    record.state = ChangeState::Committed;
    append(std::move(record));
}

void ChangeLog::append(ChangeRecord record)
{
    record.submittedAt = clock_.wallNow();
    record.changedAt = record.submittedAt;
    records_.push_back(std::move(record));
    if (records_.size() > maxRecords)
        records_.pop_front();
}

void ChangeLog::setState(const std::string& id, ChangeState state)
{
    ChangeRecord* record = findOrNull(id);
    if (!record || record->state == state)
        return;
    record->state = state;
    record->changedAt = clock_.wallNow();
}

void ChangeLog::refuse(const std::string& id, ResultCode code, const std::string& reason)
{
    setState(id, ChangeState::Refused);
    setReason(id, code, reason);
}

void ChangeLog::setReason(const std::string& id, ResultCode code, const std::string& reason)
{
    ChangeRecord* record = findOrNull(id);
    if (!record)
        return;
    record->code = code;
    record->reason = reason;
}

void ChangeLog::setCommitted(const std::string& id, ConfigurationVersion version)
{
    setState(id, ChangeState::Committed);
    ChangeRecord* record = findOrNull(id);
    if (record)
        record->version = version;
}

void ChangeLog::acceptUpTo(ConfigurationVersion version)
{
    for (ChangeRecord& record : records_) {
        if (record.state == ChangeState::Committed && record.version <= version)
            setState(record.id, ChangeState::Accepted);
    }
}

const ChangeRecord& ChangeLog::find(const std::string& id) const
{
    for (const ChangeRecord& record : records_) {
        if (record.id == id)
            return record;
    }
    throw Error(ResultCode::UnknownChange, "change \"" + id + "\" is not known to this entry; query the entry that received it, or read the history");
}

ChangeRecord* ChangeLog::findOrNull(const std::string& id)
{
    for (ChangeRecord& record : records_) {
        if (record.id == id)
            return &record;
    }
    return nullptr;
}

}

#include "RankMaps/ControllerLease.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Damaskgrade {

namespace {

struct LeaseRow {
    std::uint64_t term { 0 };
    std::string controller;
    RowVersion version { absentVersion };
};

// The value is the term and the name of the controller, separated by a space. A value that can't be parsed counts as term 0.
LeaseRow parseRow(const TableReadResult& result)
{
    LeaseRow row;
    if (result.rows.empty())
        return row;
    const std::string& value = result.rows.front().value;
    row.version = result.rows.front().version;
    row.term = std::strtoull(value.c_str(), nullptr, 10);
    std::size_t space = value.find(' ');
    if (space != std::string::npos)
        row.controller = value.substr(space + 1);
    return row;
}

std::uint64_t lowestTerm(StoreGeneration generation)
{
    return generation == 0 ? 0 : (generation - 1) * ControllerLease::termsPerGeneration;
}

}

ControllerLease::ControllerLease(Table& table, const std::string& group, std::string name, Changed onChanged, Failed onFailed)
    : table_(table)
    , key_("mapControllers/" + group)
    , name_(std::move(name))
    , onChanged_(std::move(onChanged))
    , onFailed_(std::move(onFailed))
{
}

void ControllerLease::takeOver(std::uint64_t knownTerm)
{
    if (isBusy_)
        return;
    isBusy_ = true;
    table_.read({ key_ }, [this, knownTerm](const TableReadResult& result) {
        isBusy_ = false;
        if (result.status != ResultCode::Ok) {
            onFailed_();
            return;
        }
        LeaseRow row = parseRow(result);
        if (row.term > knownTerm)
            onChanged_(row.term, row.controller);
        else
            write(std::max(knownTerm, lowestTerm(result.generation)) + 1, row.version, result.generation);
    });
}

void ControllerLease::read()
{
    if (isBusy_)
        return;
    isBusy_ = true;
    table_.read({ key_ }, [this](const TableReadResult& result) {
        isBusy_ = false;
        LeaseRow row = parseRow(result);
        if (result.status != ResultCode::Ok)
            onFailed_();
        else
            onChanged_(row.term, row.controller);
    });
}

void ControllerLease::write(std::uint64_t term, RowVersion version, StoreGeneration generation)
{
    isBusy_ = true;
    // If the write succeeds but its acknowledgement is lost, the next read returns the row with this name, and the
    // lease counts as acquired.
    table_.write({ { key_, std::to_string(term) + " " + name_, version } }, [this, term, generation](const TableWriteResult& result) {
        isBusy_ = false;
        // Another agent has acquired the lease, or this write was applied and then sent again.
        if (result.status == ResultCode::TableConflict) {
            read();
            return;
        }
        // Versions of another generation than that of the read can't be compared, so the condition proves nothing.
        if (result.status == ResultCode::Ok && result.generation == generation)
            onChanged_(term, name_);
        else
            onFailed_();
    });
}

}

#include "Gateway/EntryRegistration.h"

#include "Core/Error.h"

#include <glog/logging.h>

#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::string_view rowPrefix = "entries/";

}

EntryRegistration::EntryRegistration(EventLoop& loop, Table& table, PeerGroup& peers, EntryRegistrationSettings settings)
    : loop_(loop)
    , table_(table)
    , peers_(peers)
    , settings_(std::move(settings))
{
    read();
}

void EntryRegistration::readAgain()
{
    if (isUnregistered_)
        unregister();
    else
        scheduleRead(settings_.retryDelay);
}

void EntryRegistration::unregister()
{
    isUnregistered_ = true;
    table_.write({ { std::string(rowPrefix) + settings_.name, std::nullopt, std::nullopt } }, [](const TableWriteResult&) {});
}

void EntryRegistration::read()
{
    table_.scan(std::string(rowPrefix), [this](const TableReadResult& result) {
        if (isUnregistered_)
            return;
        if (result.status == ResultCode::Ok)
            handleRows(result);
        bool isRetryNeeded = result.status != ResultCode::Ok || peers_.addressCount() == 0;
        scheduleRead(isRetryNeeded ? settings_.retryDelay * 2 : settings_.readPeriod);
    });
}

void EntryRegistration::handleRows(const TableReadResult& result)
{
    bool hasLocalRow = false;
    std::string localAddress = formatEndpoint(settings_.link);
    for (const TableRow& row : result.rows) {
        std::string name = row.key.substr(rowPrefix.size());
        if (name == settings_.name) {
            hasLocalRow = row.value == localAddress;
            continue;
        }
        try {
            peers_.addAddress(name, parseEndpoint(row.value));
        } catch (const Error& error) {
            // Any process can write to the table, so ignore rows that contain no valid address.
            LOG(WARNING) << "ignored the table row of entry " << name << ": " << error.what();
        }
    }
    if (!hasReadRows_)
        wasListed_ = hasLocalRow;
    hasReadRows_ = true;
    if (!hasLocalRow)
        write();
}

void EntryRegistration::write()
{
    table_.write({ { std::string(rowPrefix) + settings_.name, formatEndpoint(settings_.link), std::nullopt } }, [this](const TableWriteResult& result) {
        if (result.status != ResultCode::Ok && !isUnregistered_)
            scheduleRead(settings_.retryDelay);
    });
}

void EntryRegistration::scheduleRead(std::chrono::milliseconds delay)
{
    timer_ = loop_.after(delay, [this] { read(); });
}

}

#pragma once

#include "Core/Random.h"
#include "Peers/PeerGroup.h"
#include "Platform/Table.h"
#include "Transport/EventLoop.h"

#include <memory>
#include <string>

namespace Damaskgrade {

struct EntryRegistrationSettings {
    std::string name;
    Endpoint link;
    // The rows are only needed to discover peers, which then send their state over links, so a long period is enough.
    std::chrono::milliseconds readPeriod { 15000 };
    // Delay before the rows are read again after a failed write. After a failed read, or while no peer address is known,
    // the delay is twice as long.
    std::chrono::milliseconds retryDelay { 500 };
};

// Registers this entry in the table and discovers its peers from their table rows.
class EntryRegistration {
public:
    EntryRegistration(EventLoop& loop, Table& table, PeerGroup& peers, EntryRegistrationSettings settings);

    // Reads the rows again, and writes the row of this entry again if the table has lost it.
    void readAgain();

    // Returns whether the rows have been read since the start.
    bool hasReadRows() const { return hasReadRows_; }

    // Returns whether the first rows that were read had the row of this entry, which an earlier start of it has left.
    bool wasListed() const { return wasListed_; }

    // Deletes the row of this entry. Call before a planned shutdown.
    void unregister();

private:
    void read();
    void handleRows(const TableReadResult& result);
    void write();
    void scheduleRead(std::chrono::milliseconds delay);

    EventLoop& loop_;
    Table& table_;
    PeerGroup& peers_;
    EntryRegistrationSettings settings_;
    bool isUnregistered_ { false };
    bool hasReadRows_ { false };
    bool wasListed_ { false };
    std::unique_ptr<Timer> timer_;
};

}

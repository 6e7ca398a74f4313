#pragma once

#include "Core/Random.h"
#include "Peers/PeerGroup.h"
#include "Platform/Table.h"
#include "Transport/EventLoop.h"

#include <memory>
#include <string>

namespace Damaskgrade {

struct EntryRegistrySettings {
    std::string name;
    Endpoint link;
    // Peers are found by their rows and then tell of themselves, so the rows are read rarely.
    std::chrono::milliseconds readPeriod { 15000 };
    std::chrono::milliseconds retryDelay { 500 };
};

// Writes this entry's row into the table and finds its peers by theirs.
class EntryRegistry {
public:
    EntryRegistry(EventLoop& loop, Table& table, PeerGroup& peers, EntryRegistrySettings settings);

    // Deletes the own row, for a planned end.
    void unregister();

private:
    void read();
    void handleRows(const TableReadResult& result);
    void write();
    void scheduleRead(std::chrono::milliseconds delay);

    EventLoop& loop_;
    Table& table_;
    PeerGroup& peers_;
    EntryRegistrySettings settings_;
    bool isUnregistered_ { false };
    std::unique_ptr<Timer> timer_;
};

}

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
    // The rows are only needed to discover peers, which then send their state over links, so a long period is enough.
    std::chrono::milliseconds readPeriod { 15000 };
    std::chrono::milliseconds retryDelay { 500 };
};

// Registers this entry in the table and discovers its peers from their table rows.
class EntryRegistry {
public:
    EntryRegistry(EventLoop& loop, Table& table, PeerGroup& peers, EntryRegistrySettings settings);

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
    EntryRegistrySettings settings_;
    bool isUnregistered_ { false };
    std::unique_ptr<Timer> timer_;
};

}

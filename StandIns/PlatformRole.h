#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Platform/MemoryTable.h"
#include "StandIns/DelayedTasks.h"
#include "StandIns/FaultControl.h"
#include "StandIns/LaggedInstances.h"
#include "StandIns/ServiceRate.h"

namespace Damaskgrade {

// The command-line options of the platform.
struct PlatformOptions {
    Endpoint listen;
    // A rate of 0 means unlimited.
    double tableWritesPerSecond { 0 };
    double tableReadsPerSecond { 0 };
    double weightBytesPerSecond { 0 };
    // Time until a change of the instance list becomes visible.
    std::chrono::milliseconds listLag { 0 };
};

// A simulated platform: serves the table, the object store, the instance list and the weight store over HTTP and keeps
// their contents in memory.
class PlatformRole {
public:
    PlatformRole(EventLoop& loop, const Clock& clock, const PlatformOptions& options);

private:
    struct Counters {
        std::uint64_t tableReads { 0 };
        std::uint64_t tableWrites { 0 };
        std::uint64_t tableConflicts { 0 };
        std::uint64_t tableRefused { 0 };
        std::uint64_t objectReads { 0 };
        std::uint64_t objectWrites { 0 };
        std::uint64_t instanceReads { 0 };
        std::uint64_t weightReads { 0 };
        std::uint64_t weightBytes { 0 };
    };
    using Exchange = std::shared_ptr<HttpExchange>;

    void handle(const Exchange& exchange);
    void handleTable(const Exchange& exchange, std::string_view operation);
    void readTable(HttpExchange& exchange, std::string_view operation);
    void writeTable(HttpExchange& exchange);
    void handleObject(HttpExchange& exchange, const std::string& key);
    void listObjects(HttpExchange& exchange);
    void handleInstance(HttpExchange& exchange, const std::string& name);
    void listInstances(HttpExchange& exchange);
    void serveWeights(const Exchange& exchange);
    void reportCounters(HttpExchange& exchange);

    DelayedTasks delayed_;
    const Clock& clock_;
    ServiceRate tableWriteRate_;
    ServiceRate tableReadRate_;
    ServiceRate weightRate_;
    MemoryTable table_;
    std::map<std::string, std::string> objects_;
    LaggedInstances instances_;
    Counters counters_;
    FaultControl faults_;
    HttpServer server_;
};

}

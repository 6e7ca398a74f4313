#pragma once

#include "Core/Clock.h"
#include "Forwarding/UpstreamConnection.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Damaskgrade {

struct UpstreamPoolSettings {
    // A connection attempt that takes longer has failed. Zones are at most a few milliseconds apart;
    // this leaves a server that is busy accepting some time and a request time for another server.
    std::chrono::milliseconds connectTimeout { 250 };
    // Longest time that an idle connection is kept if the server does not state its own limit.
    std::chrono::milliseconds idleTime { 4000 };
    // A connection is not used in the last part of the server's idle limit, as the request would cross its close.
    std::chrono::milliseconds idleMargin { 900 };
    std::size_t maxIdlePerServer { 16 };
};

struct UpstreamPoolCounters {
    std::uint64_t opened { 0 };
    std::uint64_t reused { 0 };
    std::uint64_t failed { 0 };
};

// Keeps idle connections to backend servers for later requests. The last one returned is used first,
// so that surplus connections grow old and are closed.
class UpstreamPool {
public:
    using Factory = std::function<std::shared_ptr<UpstreamConnection>()>;
    // Gets null if no connection could be opened, so that nothing was sent.
    using Done = std::function<void(std::shared_ptr<UpstreamConnection>, bool isReused)>;

    UpstreamPool(const Clock& clock, UpstreamPoolSettings settings, Factory factory);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool&) = delete;
    UpstreamPool& operator=(const UpstreamPool&) = delete;

    // The server is named by its id, so that a new server at a reused address gets connections of its own.
    // done may be called before acquire returns. Without mayReuse the connection is a new one.
    void acquire(const std::string& serverId, const Endpoint& address, bool mayReuse, Done done);

    // Takes a connection back after an exchange; it is closed unless it may be used again.
    void release(const std::string& serverId, std::shared_ptr<UpstreamConnection> connection);

    // Closes the idle connections of a server.
    void closeIdleConnections(const std::string& serverId);

    // Closes connections that have been idle for too long. Call about once a second.
    void closeExpired();

    const UpstreamPoolCounters& counters() const { return counters_; }

private:
    struct IdleConnection {
        std::shared_ptr<UpstreamConnection> connection;
        TimePoint until;
    };

    const Clock& clock_;
    UpstreamPoolSettings settings_;
    Factory factory_;
    std::map<std::string, std::deque<IdleConnection>> idle_;
    UpstreamPoolCounters counters_;
};

}

#pragma once

#include "Core/Clock.h"
#include "Transport/UpstreamConnection.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Damaskgrade {

struct UpstreamPoolSettings {
    // A connection attempt fails after this time. The latency between zones is at most a few milliseconds. The
    // value leaves time for a server that accepts slowly, and for a retry at another server.
    std::chrono::milliseconds connectTimeout { 250 };
    // Maximum time that an idle connection is kept if the server does not state a limit.
    std::chrono::milliseconds idleTime { 4000 };
    // An idle connection is not used for this long before the end of that limit, since the server could close it
    // while a request is being sent.
    std::chrono::milliseconds idleMargin { 900 };
    std::size_t maxIdlePerServer { 16 };
};

struct UpstreamPoolCounters {
    std::uint64_t opened { 0 };
    std::uint64_t reused { 0 };
    std::uint64_t failed { 0 };
};

// Keeps idle connections to backend servers for reuse. The most recently released connection is used first,
// so that surplus connections expire and are closed.
class UpstreamPool {
public:
    using Factory = std::function<std::shared_ptr<UpstreamConnection>()>;
    // Called with null if no connection could be opened; nothing was sent then.
    using Done = std::function<void(std::shared_ptr<UpstreamConnection>, bool isReused)>;

    UpstreamPool(const Clock& clock, UpstreamPoolSettings settings, Factory factory);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool&) = delete;
    UpstreamPool& operator=(const UpstreamPool&) = delete;

    // Passes an open connection for a request to done, which may be called before acquire returns. Without mayReuse,
    // the connection is always new. Connections are kept by server id, so that none is reused for another server
    // at the same address. A kept connection that can't identify the response to the request is left to others.
    void acquire(const std::string& serverId, const Endpoint& address, const std::optional<std::string>& requestId, bool mayReuse, Done done);

    // Returns a connection to the pool after an exchange. Closes it if it cannot be reused.
    void release(const std::string& serverId, std::shared_ptr<UpstreamConnection> connection);

    // Closes all idle connections to a server.
    void closeIdleConnections(const std::string& serverId);

    // Closes connections whose idle time has expired. Call about once a second.
    void closeExpired();

    const UpstreamPoolCounters& counters() const { return counters_; }

private:
    struct IdleConnection {
        std::shared_ptr<UpstreamConnection> connection;
        TimePoint until;
    };

    std::shared_ptr<UpstreamConnection> takeIdle(const std::string& serverId, const std::optional<std::string>& requestId);

    const Clock& clock_;
    UpstreamPoolSettings settings_;
    Factory factory_;
    std::map<std::string, std::deque<IdleConnection>> idle_;
    UpstreamPoolCounters counters_;
};

}

#include "Forwarding/UpstreamPool.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

UpstreamPool::UpstreamPool(const Clock& clock, UpstreamPoolSettings settings, Factory factory)
    : clock_(clock)
    , settings_(settings)
    , factory_(std::move(factory))
{
}

UpstreamPool::~UpstreamPool()
{
    for (auto& [server, idle] : idle_) {
        for (IdleConnection& entry : idle)
            entry.connection->close();
    }
}

// Removes the connection that was released last and suits the request, and closes those that have expired. Returns null
// if there is none.
std::shared_ptr<UpstreamConnection> UpstreamPool::takeIdle(const std::string& serverId, const std::optional<std::string>& requestId)
{
    std::deque<IdleConnection>& idle = idle_[serverId];
    for (std::size_t i = idle.size(); i-- > 0;) {
        std::shared_ptr<UpstreamConnection> connection = idle[i].connection;
        bool isUsable = connection->isReusable() && clock_.now() < idle[i].until;
        if (isUsable && !connection->canIdentify(requestId))
            continue;
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (isUsable)
            return connection;
        connection->close();
    }
    return nullptr;
}

void UpstreamPool::acquire(const std::string& serverId, const Endpoint& address, const std::optional<std::string>& requestId, bool mayReuse, Done done)
{
    std::shared_ptr<UpstreamConnection> idle = mayReuse ? takeIdle(serverId, requestId) : nullptr;
    if (idle) {
        ++counters_.reused;
        done(std::move(idle), true);
        return;
    }
    std::shared_ptr<UpstreamConnection> connection = factory_();
    ++counters_.opened;
    connection->connect(address, settings_.connectTimeout, [this, connection, done = std::move(done)](bool isOpen) {
        if (!isOpen)
            ++counters_.failed;
        done(isOpen ? connection : nullptr, false);
    });
}

void UpstreamPool::release(const std::string& serverId, std::shared_ptr<UpstreamConnection> connection)
{
    std::deque<IdleConnection>& idle = idle_[serverId];
    std::chrono::milliseconds keepTime = connection->keepAliveTime() > std::chrono::milliseconds::zero() ? connection->keepAliveTime() : settings_.idleTime;
    keepTime -= settings_.idleMargin;
    if (!connection->isReusable() || idle.size() >= settings_.maxIdlePerServer || keepTime <= std::chrono::milliseconds::zero()) {
        connection->close();
        return;
    }
    std::weak_ptr<UpstreamConnection> weak = connection;
    connection->watchIdle([this, serverId, weak] {
        std::deque<IdleConnection>& idle = idle_[serverId];
        std::shared_ptr<UpstreamConnection> lost = weak.lock();
        idle.erase(std::remove_if(idle.begin(), idle.end(), [&lost](const IdleConnection& entry) { return entry.connection == lost; }), idle.end());
    });
    idle.push_back({ std::move(connection), clock_.now() + keepTime });
}

void UpstreamPool::closeIdleConnections(const std::string& serverId)
{
    auto found = idle_.find(serverId);
    if (found == idle_.end())
        return;
    for (IdleConnection& entry : found->second)
        entry.connection->close();
    idle_.erase(found);
}

void UpstreamPool::closeExpired()
{
    TimePoint now = clock_.now();
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::deque<IdleConnection>& idle = entry->second;
        while (!idle.empty() && idle.front().until <= now) {
            idle.front().connection->close();
            idle.pop_front();
        }
        entry = idle.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

}

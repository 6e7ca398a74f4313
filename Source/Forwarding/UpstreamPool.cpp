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

void UpstreamPool::acquire(const std::string& serverId, const Endpoint& address, bool mayReuse, Done done)
{
    std::deque<IdleConnection>& idle = idle_[serverId];
    while (mayReuse && !idle.empty()) {
        IdleConnection candidate = std::move(idle.back());
        idle.pop_back();
        if (candidate.connection->isReusable() && clock_.now() < candidate.until) {
            ++counters_.reused;
            done(std::move(candidate.connection), true);
            return;
        }
        candidate.connection->close();
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

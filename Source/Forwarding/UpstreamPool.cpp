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
        for (Idle& entry : idle)
            entry.connection->close();
    }
}

void UpstreamPool::acquire(const std::string& serverId, const Endpoint& address, bool mayReuse, Done done)
{
    std::deque<Idle>& idle = idle_[serverId];
    while (mayReuse && !idle.empty()) {
        Idle candidate = std::move(idle.back());
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
    std::deque<Idle>& idle = idle_[serverId];
    std::chrono::milliseconds kept = connection->keepAliveTime() > std::chrono::milliseconds::zero() ? connection->keepAliveTime() : settings_.idleTime;
    kept -= settings_.idleMargin;
    if (!connection->isReusable() || idle.size() >= settings_.maxIdlePerServer || kept <= std::chrono::milliseconds::zero()) {
        connection->close();
        return;
    }
    std::weak_ptr<UpstreamConnection> weak = connection;
    connection->watchIdle([this, serverId, weak] {
        std::deque<Idle>& idle = idle_[serverId];
        std::shared_ptr<UpstreamConnection> lost = weak.lock();
        idle.erase(std::remove_if(idle.begin(), idle.end(), [&lost](const Idle& entry) { return entry.connection == lost; }), idle.end());
    });
    idle.push_back({ std::move(connection), clock_.now() + kept });
}

void UpstreamPool::drop(const std::string& serverId)
{
    auto found = idle_.find(serverId);
    if (found == idle_.end())
        return;
    for (Idle& entry : found->second)
        entry.connection->close();
    idle_.erase(found);
}

void UpstreamPool::closeExpired()
{
    TimePoint now = clock_.now();
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::deque<Idle>& idle = entry->second;
        while (!idle.empty() && idle.front().until <= now) {
            idle.front().connection->close();
            idle.pop_front();
        }
        entry = idle.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

}

#include "Transport/LinkDirectory.h"

#include <utility>

namespace Damaskgrade {

namespace {

void addCounters(LinkCounters& sum, const LinkCounters& counters)
{
    sum.opened += counters.opened;
    sum.closed += counters.closed;
    sum.framesSent += counters.framesSent;
    sum.framesReceived += counters.framesReceived;
    sum.badFrames += counters.badFrames;
    sum.failedHandshakes += counters.failedHandshakes;
    sum.bytesSent += counters.bytesSent;
    sum.bytesReceived += counters.bytesReceived;
}

}

LinkDirectory::LinkDirectory(EventLoop& loop, Random& random, const LinkKeys& keys, ProcessLinkHooks hooks)
    : loop_(loop)
    , random_(random)
    , keys_(keys)
    , hooks_(std::move(hooks))
{
}

void LinkDirectory::setTargets(const std::map<std::string, Endpoint>& targets)
{
    std::vector<std::string> obsolete;
    for (const auto& [name, target] : targets_) {
        auto newTarget = targets.find(name);
        if (newTarget == targets.end() || !(newTarget->second == target.endpoint))
            obsolete.push_back(name);
    }
    for (const std::string& name : obsolete)
        close(name);
    for (const auto& [name, endpoint] : targets) {
        if (targets_.count(name) == 0)
            open(name, endpoint);
    }
}

bool LinkDirectory::send(const std::string& name, const Frame& frame)
{
    auto found = targets_.find(name);
    std::shared_ptr<LinkSession> session = found == targets_.end() ? nullptr : found->second.client->session();
    if (!session)
        return false;
    session->send(frame);
    return true;
}

bool LinkDirectory::isOpen(const std::string& name) const
{
    auto found = targets_.find(name);
    return found != targets_.end() && found->second.client->session() != nullptr;
}

std::size_t LinkDirectory::openCount() const
{
    std::size_t count = 0;
    for (const auto& [name, target] : targets_)
        count += target.client->session() != nullptr ? 1 : 0;
    return count;
}

LinkCounters LinkDirectory::counters() const
{
    LinkCounters sum = closedCounters_;
    for (const auto& [name, target] : targets_)
        addCounters(sum, target.client->counters());
    return sum;
}

void LinkDirectory::open(const std::string& name, const Endpoint& endpoint)
{
    LinkHandlers handlers;
    handlers.onOpen = [this, name](const std::shared_ptr<LinkSession>&) { hooks_.onOpen(name); };
    handlers.onFrame = [this, name](const std::shared_ptr<LinkSession>&, const Frame& frame) { hooks_.onFrame(name, frame); };
    handlers.onClose = [this, name](const std::shared_ptr<LinkSession>&) { hooks_.onClose(name); };
    targets_[name] = { endpoint, std::make_unique<LinkClient>(loop_, random_, endpoint, keys_, handlers) };
}

void LinkDirectory::close(const std::string& name)
{
    auto found = targets_.find(name);
    bool wasOpen = found->second.client->session() != nullptr;
    addCounters(closedCounters_, found->second.client->counters());
    targets_.erase(found);
    if (wasOpen)
        hooks_.onClose(name);
}

}

#include "RankMaps/RelayLinks.h"

#include <utility>

namespace Damaskgrade {

namespace {

// Longer than the time between two messages of a steady group, so that its links stay open.
constexpr std::chrono::seconds unusedLinkLifetime { 30 };
// Enough to open a link to an agent that is alive.
constexpr std::chrono::seconds pendingFrameLifetime { 1 };

}

RelayLinks::RelayLinks(const Clock& clock, const MakeProcessLinks& makeLinks, FrameHandler onFrame)
    : clock_(clock)
    , links_(makeLinks({ [this](const std::string& name) { sendPending(name); }, [onFrame = std::move(onFrame)](const std::string&, const Frame& frame) { onFrame(frame); }, [](const std::string&) {} }))
{
}

void RelayLinks::send(const Endpoint& receiver, const Frame& frame)
{
    std::string name = formatEndpoint(receiver);
    bool isNew = receivers_.count(name) == 0;
    Receiver& entry = receivers_[name];
    entry.endpoint = receiver;
    entry.usedAt = clock_.now();
    if (isNew)
        setTargets();
    if (!links_->send(name, frame))
        entry.pending[frame.type] = { frame, clock_.now() };
}

void RelayLinks::sendPending(const std::string& name)
{
    auto found = receivers_.find(name);
    if (found == receivers_.end())
        return;
    for (const auto& [type, pending] : std::exchange(found->second.pending, {})) {
        if (clock_.now() - pending.since <= pendingFrameLifetime)
            links_->send(name, pending.frame);
    }
}

void RelayLinks::closeUnused()
{
    std::size_t before = receivers_.size();
    for (auto receiver = receivers_.begin(); receiver != receivers_.end();)
        receiver = clock_.now() - receiver->second.usedAt > unusedLinkLifetime ? receivers_.erase(receiver) : std::next(receiver);
    if (receivers_.size() != before)
        setTargets();
}

void RelayLinks::setTargets()
{
    std::map<std::string, Endpoint> targets;
    for (const auto& [name, receiver] : receivers_)
        targets[name] = receiver.endpoint;
    links_->setTargets(targets);
}

}

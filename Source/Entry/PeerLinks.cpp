#include "Entry/PeerLinks.h"

#include <utility>

namespace Damaskgrade {

PeerLinks::PeerLinks(EventLoop& loop, Random& random, HybridClock& hybridClock, HelloMessage self, const Endpoint& listen, const LinkKeys& keys, FrameHandler onFrame)
    : hybridClock_(hybridClock)
    , self_(std::move(self))
    , onFrame_(std::move(onFrame))
    , directory_(loop, random, keys, makeClientHooks())
    , server_(loop, listen, keys, makeServerHandlers())
{
}

void PeerLinks::update(const std::vector<InstanceRecord>& instances)
{
    std::map<std::string, Endpoint> targets;
    for (const InstanceRecord& record : instances) {
        if (record.role == InstanceRole::Entry && record.name != self_.name)
            targets[record.name] = record.link;
    }
    directory_.setTargets(targets);
}

void PeerLinks::send(const std::string& peer, const Frame& frame)
{
    directory_.send(peer, frame);
}

LinkHandlers PeerLinks::makeServerHandlers()
{
    LinkHandlers handlers;
    handlers.onOpen = [](const std::shared_ptr<LinkSession>&) {};
    handlers.onFrame = [this](const std::shared_ptr<LinkSession>& session, const Frame& frame) { receive(session, frame); };
    handlers.onClose = [this](const std::shared_ptr<LinkSession>& session) { namesBySession_.erase(session); };
    return handlers;
}

ProcessLinkHooks PeerLinks::makeClientHooks()
{
    ProcessLinkHooks hooks;
    hooks.onOpen = [this](const std::string& name) { directory_.send(name, encodeMessage(self_, hybridClock_.tick())); };
    hooks.onFrame = [](const std::string&, const Frame&) {};
    hooks.onClose = [](const std::string&) {};
    return hooks;
}

void PeerLinks::receive(const std::shared_ptr<LinkSession>& session, const Frame& frame)
{
    hybridClock_.observe(frame.time);
    if (frame.type == HelloMessage::type) {
        HelloMessage hello = decodeHello(frame.body);
        if (hello.role == "entry")
            namesBySession_[session] = hello.name;
        return;
    }
    auto sender = namesBySession_.find(session);
    if (sender != namesBySession_.end())
        onFrame_(sender->second, frame);
}

}

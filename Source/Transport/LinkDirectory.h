#pragma once

#include "Transport/LinkClient.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Damaskgrade {

struct LinkDirectoryHooks {
    std::function<void(const std::string& name)> onOpen;
    std::function<void(const std::string& name, const Frame& frame)> onFrame;
    std::function<void(const std::string& name)> onClose;
};

// Keeps links to a changing set of named processes open.
class LinkDirectory {
public:
    LinkDirectory(EventLoop& loop, Random& random, const LinkKeys& keys, LinkDirectoryHooks hooks);

    // Links to exactly these processes: opens links to new ones and to those whose address
    // has changed, and closes the links to all others.
    void setTargets(const std::map<std::string, Endpoint>& targets);

    // Sends a frame if the link is open. Returns whether it was.
    bool send(const std::string& name, const Frame& frame);

    bool isOpen(const std::string& name) const;
    std::size_t openCount() const;

    // The sum over all links, those that were closed included.
    LinkCounters counters() const;

private:
    struct Target {
        Endpoint endpoint;
        std::unique_ptr<LinkClient> client;
    };

    void open(const std::string& name, const Endpoint& endpoint);
    void close(const std::string& name);

    EventLoop& loop_;
    Random& random_;
    LinkKeys keys_;
    LinkDirectoryHooks hooks_;
    std::map<std::string, Target> targets_;
    LinkCounters closedCounters_;
};

}

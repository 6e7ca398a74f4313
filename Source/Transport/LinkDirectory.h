#pragma once

#include "Transport/LinkClient.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Damaskgrade {

// Callbacks of a LinkDirectory. The name is that of the process at the other end of the link.
struct LinkDirectoryHooks {
    std::function<void(const std::string& name)> onOpen;
    std::function<void(const std::string& name, const Frame& frame)> onFrame;
    std::function<void(const std::string& name)> onClose;
};

// Maintains links to a changing set of named processes.
class LinkDirectory {
public:
    LinkDirectory(EventLoop& loop, Random& random, const LinkKeys& keys, LinkDirectoryHooks hooks);

    // Sets the processes to link to. Closes links to processes that are not in the map, opens links to new ones,
    // and replaces links whose endpoint has changed.
    void setTargets(const std::map<std::string, Endpoint>& targets);

    // Sends a frame if the link is open. Returns false if it is not.
    bool send(const std::string& name, const Frame& frame);

    bool isOpen(const std::string& name) const;
    // Returns the number of open links.
    std::size_t openCount() const;

    // Returns the sum of the counters of all links, including links that were removed.
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

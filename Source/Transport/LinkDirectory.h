#pragma once

#include "Transport/LinkClient.h"
#include "Transport/ProcessLinks.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Damaskgrade {

// Maintains links to a changing set of named processes.
class LinkDirectory : public ProcessLinks {
public:
    LinkDirectory(EventLoop& loop, Random& random, const LinkKeys& keys, ProcessLinkHooks hooks);

    void setTargets(const std::map<std::string, Endpoint>& targets) override;
    bool send(const std::string& name, const Frame& frame) override;
    bool isOpen(const std::string& name) const override;
    std::size_t openCount() const override;

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
    ProcessLinkHooks hooks_;
    std::map<std::string, Target> targets_;
    LinkCounters closedCounters_;
};

}

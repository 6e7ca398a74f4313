#pragma once

#include "Core/Endpoint.h"
#include "Transport/Frame.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Damaskgrade {

// Callbacks of the links to named processes. The name is that of the process at the other end of the link.
struct ProcessLinkHooks {
    std::function<void(const std::string& name)> onOpen;
    std::function<void(const std::string& name, const Frame& frame)> onFrame;
    std::function<void(const std::string& name)> onClose;
};

// Links to a changing set of named processes.
class ProcessLinks {
public:
    virtual ~ProcessLinks() = default;

    // Sets the processes to link to. Closes links to processes that are not in the map, opens links to new ones,
    // and replaces links whose endpoint has changed.
    virtual void setTargets(const std::map<std::string, Endpoint>& targets) = 0;

    // Sends a frame if the link is open. Returns false if it is not.
    virtual bool send(const std::string& name, const Frame& frame) = 0;

    virtual bool isOpen(const std::string& name) const = 0;
    // Returns the number of open links.
    virtual std::size_t openCount() const = 0;
};

using MakeProcessLinks = std::function<std::unique_ptr<ProcessLinks>(ProcessLinkHooks hooks)>;

}

#pragma once

#include "Core/Endpoint.h"
#include "Transport/EventLoop.h"
#include "Transport/HttpMessage.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Damaskgrade {

enum class AfterResponse {
    KeepOpen,
    // Ends the connection in good order.
    Close,
    // Resets the connection.
    Reset,
};

// What a scripted server does with one request.
struct ScriptedResponse {
    std::string bytes;
    AfterResponse after { AfterResponse::KeepOpen };
    // The bytes are sent one at a time, with the event loop running in between.
    bool isSentBytewise { false };
};

// A server on a loopback port whose raw response bytes the test decides.
class ScriptedServer {
public:
    using Script = std::function<ScriptedResponse(const HttpRequest&)>;

    ScriptedServer(EventLoop& loop, Script script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    Endpoint endpoint() const;
    std::size_t connectionCount() const;
    const std::vector<HttpRequest>& requests() const;
    // Connections that the other side has closed.
    std::size_t closedCount() const;
    // Of these, the connections that were reset.
    std::size_t resetCount() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

}

#pragma once

#include "Core/Endpoint.h"
#include "Transport/EventLoop.h"
#include "Transport/HttpMessage.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Damaskgrade {

enum class AfterResponse {
    KeepOpen,
    // Closes the connection without a reset.
    Close,
    // Resets the connection.
    Reset,
    // Resets the connection and accepts no new ones, like a process that has crashed.
    Crash,
    // Reads the rest of the request, then closes the connection without a reset.
    ReadAndClose,
    // Ends its direction of the connection, reads the rest of the request, then closes the connection.
    ShutDownAndRead,
    // Ends its direction of the connection, then resets it.
    ShutDownAndReset,
};

// How much of a request a scripted server reads before it responds.
enum class ReadBeforeResponse {
    WholeRequest,
    // The body of the request that is passed to the script is empty.
    HeadOnly,
};

// The bytes that a scripted server sends for one request, and what it does with the connection afterwards.
struct ScriptedResponse {
    std::string bytes;
    AfterResponse after { AfterResponse::KeepOpen };
    // Sends one byte at a time, with a turn of the event loop after each.
    bool isSentBytewise { false };
    // Sent again and again after the bytes, until the client closes the connection.
    std::optional<std::string> endless { std::nullopt };
    // Time from the last byte, and the end of the server's direction, to what else is done with the connection.
    std::chrono::milliseconds pause { 0 };
};

// A server on a loopback port that responds with raw bytes given by the test.
class ScriptedServer {
public:
    using Script = std::function<ScriptedResponse(const HttpRequest&)>;

    ScriptedServer(EventLoop& loop, Script script, ReadBeforeResponse reading = ReadBeforeResponse::WholeRequest);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    ScriptedServer& operator=(const ScriptedServer&) = delete;

    Endpoint endpoint() const;
    std::size_t connectionCount() const;
    const std::vector<HttpRequest>& requests() const;
    // Returns the number of bytes of request bodies that were read completely after their response.
    std::size_t bodyBytesReadAfterResponse() const;
    // Returns the number of connections that the client closed.
    std::size_t closedCount() const;
    // Returns how many of these connections were reset.
    std::size_t resetCount() const;
    // Returns the number of bytes that were sent of endless responses.
    std::size_t endlessBytes() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

}

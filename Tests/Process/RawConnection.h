#pragma once

#include "Core/Endpoint.h"

#include <string>
#include <string_view>

namespace Damaskgrade {

// A TCP connection for bytes that no client of this project sends.
class RawConnection {
public:
    // Throws std::runtime_error if the connection can't be opened.
    explicit RawConnection(const Endpoint& server);
    ~RawConnection();
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    // Sends all bytes, or as many as the server takes before it closes the connection.
    void send(std::string_view bytes);

    // Waits until the received bytes contain the text. Returns false if the connection ends before, or after a generous limit.
    bool waitFor(std::string_view text);

    // Waits until the server closes the connection. Returns false after a generous limit.
    bool waitForEnd();

    const std::string& received() const { return received_; }

private:
    // Returns whether bytes arrived.
    bool receive();

    int descriptor_ { -1 };
    bool hasEnded_ { false };
    std::string received_;
};

// Returns the request that opens a websocket connection.
std::string websocketHandshake(const Endpoint& server);

// Returns a final binary websocket frame of a client with this payload. Its mask is zero.
std::string websocketFrame(std::string_view payload);

}

#pragma once

#include "Core/Endpoint.h"

#include <string>
#include <string_view>

namespace Damaskgrade {

// A TCP connection to send bytes that a regular client never sends.
class RawConnection {
public:
    // Throws std::runtime_error if the connection can't be opened.
    explicit RawConnection(const Endpoint& server);
    ~RawConnection();
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    // Sends all bytes, or as many as possible until the server closes the connection.
    void send(std::string_view bytes);

    // Waits until the received bytes contain the text. Returns false if the connection is closed first, or if nothing
    // arrives for 30 s.
    bool waitFor(std::string_view text);

    // Waits until the server closes the connection. Returns false if nothing arrives for 30 s.
    bool waitForEnd();

    const std::string& received() const { return received_; }

private:
    // Waits for bytes and appends them to received_. Returns false if the connection was closed or nothing arrived in time.
    bool receive();

    int descriptor_ { -1 };
    bool hasEnded_ { false };
    std::string received_;
};

// Returns the request that opens a websocket connection.
std::string websocketHandshake(const Endpoint& server);

// Returns an unfragmented binary websocket frame of a client with this payload and a masking key of 0.
std::string websocketFrame(std::string_view payload);

}

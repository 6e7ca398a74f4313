#include "Process/RawConnection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>

namespace Damaskgrade {

namespace {

constexpr time_t receiveTimeoutSeconds = 30;
constexpr std::size_t receiveBytes = 4096;
constexpr unsigned byteBits = 8;
constexpr unsigned byteMask = 0xff;
// The FIN bit and the opcode of binary frames.
constexpr char binaryFinal = static_cast<char>(0x82);
// The three encodings of the payload length (see RFC 6455, 5.2).
constexpr unsigned maskBit = 0x80;
constexpr std::size_t maxShortLength = 125;
constexpr std::size_t maxMediumLength = 65535;
constexpr unsigned mediumLengthMark = 126;
constexpr unsigned longLengthMark = 127;
constexpr std::size_t mediumLengthBytes = 2;
constexpr std::size_t longLengthBytes = 8;
constexpr std::size_t maskBytes = 4;

}

RawConnection::RawConnection(const Endpoint& server)
    : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    timeval timeout {};
    timeout.tv_sec = receiveTimeoutSeconds;
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
    if (connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0)
        return;
    close(descriptor_);
    throw std::runtime_error("can't connect to " + formatEndpoint(server));
}

RawConnection::~RawConnection()
{
    close(descriptor_);
}

void RawConnection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        ssize_t count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
}

bool RawConnection::receive()
{
    std::array<char, receiveBytes> buffer {};
    ssize_t count = recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count > 0) {
        received_.append(buffer.data(), static_cast<std::size_t>(count));
        return true;
    }
    hasEnded_ = count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    return false;
}

bool RawConnection::waitFor(std::string_view text)
{
    while (received_.find(text) == std::string::npos) {
        if (!receive())
            return false;
    }
    return true;
}

bool RawConnection::waitForEnd()
{
    while (receive()) { }
    return hasEnded_;
}

std::string websocketHandshake(const Endpoint& server)
{
    return "GET / HTTP/1.1\r\nHost: " + formatEndpoint(server)
        + "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n";
}

std::string websocketFrame(std::string_view payload)
{
    std::string frame { binaryFinal };
    std::size_t lengthBytes = payload.size() > maxMediumLength ? longLengthBytes : mediumLengthBytes;
    if (payload.size() <= maxShortLength) {
        lengthBytes = 0;
        frame.push_back(static_cast<char>(maskBit | payload.size()));
    } else
        frame.push_back(static_cast<char>(maskBit | (lengthBytes == longLengthBytes ? longLengthMark : mediumLengthMark)));
    for (std::size_t index = lengthBytes; index > 0; --index)
        frame.push_back(static_cast<char>((payload.size() >> ((index - 1) * byteBits)) & byteMask));
    frame.append(maskBytes, '\0');
    frame.append(payload);
    return frame;
}

}

#pragma once

#include "Core/Endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace Damaskgrade {

// Returns a loopback endpoint whose port was free when checked, so that concurrent test runs in several
// work trees do not use the same ports.
inline Endpoint freeEndpoint()
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    bool isBound = descriptor >= 0
        && bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0
        && getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    if (descriptor >= 0)
        close(descriptor);
    if (!isBound)
        throw std::runtime_error("no loopback port is free");
    return { "127.0.0.1", ntohs(address.sin_port) };
}

}

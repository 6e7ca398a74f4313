#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Damaskgrade {

// An IP address and a port.
struct Endpoint {
    std::string address;
    std::uint16_t port { 0 };
};

bool operator==(const Endpoint& left, const Endpoint& right);
bool operator<(const Endpoint& left, const Endpoint& right);

// Parses "127.0.0.1:8080" or "[::1]:8080".
// Throws Error(SettingsInvalid) if the text is not an IP address with a port from 1 to 65535.
Endpoint parseEndpoint(std::string_view text);

// Returns the form that parseEndpoint reads.
std::string formatEndpoint(const Endpoint& endpoint);

}

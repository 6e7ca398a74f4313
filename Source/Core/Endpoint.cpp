#include "Core/Endpoint.h"

#include "Core/Error.h"

#include <arpa/inet.h>
#include <charconv>
#include <tuple>

namespace Damaskgrade {

namespace {

bool isAddress(const std::string& text)
{
    in6_addr buffer {};
    return inet_pton(AF_INET, text.c_str(), &buffer) == 1 || inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

[[noreturn]] void throwInvalidEndpoint(std::string_view text)
{
    throw Error(ResultCode::SettingsInvalid,
        "\"" + std::string(text) + "\" is not a valid endpoint; use an IP address and a port, such as 127.0.0.1:8080");
}

}

bool operator==(const Endpoint& left, const Endpoint& right)
{
    return left.address == right.address && left.port == right.port;
}

bool operator<(const Endpoint& left, const Endpoint& right)
{
    return std::tie(left.address, left.port) < std::tie(right.address, right.port);
}

Endpoint parseEndpoint(std::string_view text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throwInvalidEndpoint(text);
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::string_view digits = text.substr(colon + 1);
    Endpoint endpoint;
    endpoint.address = std::string(host);
    auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    bool isInteger = failure == std::errc() && end == digits.data() + digits.size();
    if (!isInteger || endpoint.port == 0 || !isAddress(endpoint.address))
        throwInvalidEndpoint(text);
    return endpoint;
}

std::string formatEndpoint(const Endpoint& endpoint)
{
    bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    std::string host = isIpv6 ? "[" + endpoint.address + "]" : endpoint.address;
    return host + ":" + std::to_string(endpoint.port);
}

}

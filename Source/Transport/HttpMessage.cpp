#include "Transport/HttpMessage.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace Damaskgrade {

namespace {

bool isUnreserved(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) || std::string_view("-._~").find(character) != std::string_view::npos;
}

bool isHexDigit(char character)
{
    return std::isxdigit(static_cast<unsigned char>(character)) != 0;
}

}

bool isInformational(int status)
{
    constexpr int firstFinalStatus = 200;
    return status < firstFinalStatus;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    for (std::size_t i = 0; i < left.size(); ++i) {
        if (std::tolower(static_cast<unsigned char>(left[i])) != std::tolower(static_cast<unsigned char>(right[i])))
            return false;
    }
    return true;
}

bool hasListToken(std::string_view list, std::string_view token)
{
    std::size_t start = 0;
    while (start <= list.size()) {
        std::size_t comma = std::min(list.find(',', start), list.size());
        std::string_view entry = list.substr(start, comma - start);
        std::size_t first = std::min(entry.find_first_not_of(" \t"), entry.size());
        entry = entry.substr(first, entry.find_last_not_of(" \t") + 1 - first);
        if (equalsIgnoringCase(entry, token))
            return true;
        start = comma + 1;
    }
    return false;
}

std::string serializeRequest(const HttpRequest& request, std::string_view host, bool keepsConnection)
{
    std::string text;
    auto appendHeader = [&text](std::string_view name, std::string_view value) { text.append(name).append(": ").append(value).append("\r\n"); };
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (!findHeader(request.headers, "Host"))
        appendHeader("Host", host);
    for (const HttpHeader& header : request.headers)
        appendHeader(header.name, header.value);
    if (!keepsConnection)
        appendHeader("Connection", "close");
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        appendHeader("Content-Length", std::to_string(request.body.size()));
    return text.append("\r\n").append(request.body);
}

HttpRequest makeJsonPost(std::string_view target, std::string_view body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::string(target);
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = std::string(body);
    return request;
}

std::optional<std::string> findHeader(const std::vector<HttpHeader>& headers, std::string_view name)
{
    for (const HttpHeader& header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> queryParameter(std::string_view target, std::string_view name)
{
    std::size_t question = target.find('?');
    if (question == std::string_view::npos)
        return std::nullopt;
    std::string_view rest = target.substr(question + 1);
    while (!rest.empty()) {
        std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) != name)
            continue;
        return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1));
    }
    return std::nullopt;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        bool isEncoded = text[i] == '%' && i + 2 < text.size() && isHexDigit(text[i + 1]) && isHexDigit(text[i + 2]);
        if (!isEncoded) {
            decoded += text[i];
            continue;
        }
        std::string digits(text.substr(i + 1, 2));
        decoded += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
        i += 2;
    }
    return decoded;
}

std::string percentEncode(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (char character : text) {
        if (isUnreserved(character)) {
            encoded += character;
            continue;
        }
        unsigned char byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

}

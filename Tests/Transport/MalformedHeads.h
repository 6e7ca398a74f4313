#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// Header lines, and trailer lines, that are not well formed: their name is empty or holds a byte that no name may hold, their value
// holds a control byte, or they end without a carriage return.
inline std::vector<std::string> malformedHeaderLines()
{
    return {
        "Bad Name: x\r\n",
        "Bad\tName: x\r\n",
        "Bad\x01Name: x\r\n",
        std::string("Bad\0Name: x\r\n", 13),
        "Bad\x1F: x\r\n",
        "Bad\x7FName: x\r\n",
        "Bad\x80Name: x\r\n",
        "Bad\xFFName: x\r\n",
        "Bad(Name): x\r\n",
        "Bad/Name: x\r\n",
        "Bad\"Name\": x\r\n",
        ": x\r\n",
        " : x\r\n",
        "NoColon\r\n",
        "Content-Length : 1\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Content-Length\t: 1\r\n",
        "Name: a\x01 b\r\n",
        std::string("Name: a\0b\r\n", 11),
        "Name: a\x7F\r\n",
        "Name: a\rb\r\n",
        "Name: x\n",
    };
}

// Heads, some with a body, of servers in trouble. "LINES" stands for further header lines.
inline std::vector<std::string> malformedHeads()
{
    std::vector<std::string> heads {
        "HTTP/1.1 000 X\r\nLINESContent-Length: 0\r\n\r\n",
        "HTTP/1.1 000 X\r\nLINESContent-Length: 5\r\n\r\nwrong",
        "HTTP/1.1 000 X\r\nLINES\r\n",
        "HTTP/1.1 000 X\r\n\r\n",
        "HTTP/1.1 099 X\r\nLINESContent-Length: 0\r\n\r\n",
        "HTTP/1.1 101 X\r\nLINESUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        "HTTP/1.1 20 X\r\nLINESContent-Length: 0\r\n\r\n",
        "HTTP/1.1 2000 X\r\nLINESContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 X\r\nLINESContent-Length: 5\r\n\r\nwrong",
        "HTTP/1.1 999 X\r\nLINESContent-Length: 5\r\n\r\nwrong",
        // The body has another coding than the caller expects, or another end than the server meant.
        "HTTP/1.1 200 OK\r\nLINESTransfer-Encoding: gzip\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nLINESTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nLINESTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nLINESTransfer-Encoding: chunked, gzip\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nLINESTransfer-Encoding: chunked, chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nLINESTransfer-Encoding: xchunked\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nLINESTransfer-Encoding:\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nLINESTransfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nLINESContent-Length: 5\r\nTransfer-Encoding: identity\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nLINESContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nLINESContent-Length: 5\r\nContent-Length: 4\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nLINESContent-Length: -5\r\n\r\nwrong",
        "HTTP/1.1 200 OK\r\nLINESContent-Length: 5 5\r\n\r\nwrong",
        "HTTP/1.1 204 X\r\nLINESContent-Length: 5\r\n\r\nwrong",
        "HTTP/1.1 204 X\r\nLINESTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
        "HTTP/1.1 102 X\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 102 X\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\n Leading: x\r\nLINESContent-Length: 5\r\n\r\nwrong",
    };
    for (const std::string& line : malformedHeaderLines()) {
        heads.push_back("HTTP/1.1 200 OK\r\n" + line + "LINESContent-Length: 5\r\n\r\nwrong");
        heads.push_back("HTTP/1.1 200 OK\r\nLINESContent-Length: 5\r\n" + line + "\r\nwrong");
    }
    return heads;
}

// Returns the head with these header lines, each with its line end.
inline std::string insertHeaderLines(std::string head, std::string_view lines)
{
    constexpr std::string_view placeholder = "LINES";
    std::size_t position = head.find(placeholder);
    if (position != std::string::npos)
        head.replace(position, placeholder.size(), lines);
    return head;
}

}

#include "Core/Endpoint.h"
#include "Core/Error.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

// Guards against IPv6 addresses that are formatted without brackets.
TEST_CASE("formatting a parsed endpoint returns the same text")
{
    CHECK(formatEndpoint(parseEndpoint("127.0.0.1:8080")) == "127.0.0.1:8080");
    CHECK(formatEndpoint(parseEndpoint("[::1]:8080")) == "[::1]:8080");
}

// Guards against a process that starts with an invalid address and is never reachable.
TEST_CASE("a text that is not an endpoint is rejected")
{
    for (const char* text : { "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "localhost:80", "127.0.0.1:80x" })
        CHECK_THROWS_AS(parseEndpoint(text), Error);
}

}

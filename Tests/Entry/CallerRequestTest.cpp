#include "Entry/CallerRequest.h"
#include "Core/Error.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

HttpRequest makePost(const std::string& target, const std::string& body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.body = body;
    return request;
}

ResultCode codeOf(const HttpRequest& request)
{
    try {
        parseCallerRequest(request);
    } catch (const Error& error) {
        return error.code();
    }
    return ResultCode::Ok;
}

}

// Guards against fields of the body that are ignored or assigned to the wrong member.
TEST_CASE("the fields of a completion request are parsed")
{
    CallerRequest request = parseCallerRequest(makePost("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":3,"stream":true})"));
    CHECK(request.kind == CallKind::Completion);
    CHECK(request.target == "m");
    CHECK(request.maxTokens == 3);
    CHECK(request.isStreamed);
}

// Guards against a wrong split of the path and against names that stay percent-encoded.
TEST_CASE("the service and the operation are parsed from the path")
{
    CallerRequest request = parseCallerRequest(makePost("/v1/services/bookings/reserve%20now", "{}"));
    CHECK(request.kind == CallKind::Service);
    CHECK(request.target == "bookings");
    CHECK(request.operation == "reserve now");
}

// Guards against malformed requests that get the wrong result code or terminate the process.
TEST_CASE("malformed requests are rejected with their result codes")
{
    CHECK(codeOf(makePost("/v1/completions", "{")) == ResultCode::MalformedRequest);
    CHECK(codeOf(makePost("/v1/completions", R"({"model":1,"prompt":"p"})")) == ResultCode::MalformedRequest);
    CHECK(codeOf(makePost("/v1/completions", R"({"model":"m","prompt":"p","max_tokens":0})")) == ResultCode::MalformedRequest);
    CHECK(codeOf(makePost("/v1/services/bookings", "{}")) == ResultCode::UnknownRoute);
    CHECK(codeOf(makePost("/v1/services/a/b/c", "{}")) == ResultCode::UnknownRoute);
    CHECK(codeOf(makePost("/other", "{}")) == ResultCode::UnknownRoute);
    HttpRequest badDeadline = makePost("/v1/services/a/b", "{}");
    badDeadline.headers.push_back({ "Request-Deadline-Ms", "-5" });
    CHECK(codeOf(badDeadline) == ResultCode::InvalidDeadline);
    HttpRequest badPosition = makePost("/v1/services/a/b", "{}");
    badPosition.headers.push_back({ "Last-Event-ID", "a/b" });
    CHECK(codeOf(badPosition) == ResultCode::MalformedRequest);
}

// Guards against resuming a stream at the wrong position.
TEST_CASE("a formatted stream position parses to the same position")
{
    StreamPosition position = parseStreamPosition(formatStreamPosition({ "agent-1", "call", 42 }));
    CHECK(position.originalCallId == "call");
    CHECK(position.agent == "agent-1");
    CHECK(position.offset == 42);
}

}

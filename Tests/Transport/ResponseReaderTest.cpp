#include "Transport/ResponseReader.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

namespace Damaskgrade {

namespace {

// Cancels the exchange in one of the handlers, and checks that what the handlers own outlives that call.
struct CancellingHandlers {
    explicit CancellingHandlers(ResponseReader& reader)
        : reader(reader)
        , owned(std::make_shared<int>(0))
        , observer(owned)
    {
    }

    void cancel()
    {
        reader.cancel();
        ++calls;
        wasOwnedAlive = !observer.expired();
    }

    UpstreamHandlers make(const std::string& cancellingHandler)
    {
        auto cancelIn = [this, cancellingHandler](const std::string& name) {
            if (name == cancellingHandler)
                cancel();
        };
        UpstreamHandlers handlers;
        handlers.onHead = [cancelIn](const HttpResponse&) { cancelIn("head"); };
        handlers.onBody = [cancelIn](std::string_view) { cancelIn("body"); };
        handlers.onSkipped = [cancelIn] { cancelIn("skipped"); };
        handlers.mayLackId = [cancelIn, owned = std::move(owned)](const HttpResponse&) {
            cancelIn("id");
            return true;
        };
        handlers.onEnd = [] {};
        handlers.onFailure = [] {};
        return handlers;
    }

    ResponseReader& reader;
    std::shared_ptr<int> owned;
    std::weak_ptr<int> observer;
    int calls { 0 };
    bool wasOwnedAlive { false };
};

}

// Guards against use of a destroyed handler: a handler that closes its connection still runs when the handlers are given up.
TEST_CASE("the handlers of a response exist until the handler that cancels the exchange has returned")
{
    for (const char* handler : { "head", "body", "skipped", "id" }) {
        CAPTURE(handler);
        ResponseReader reader("Request-Id");
        CancellingHandlers cancelling(reader);
        bool isSkipped = handler == std::string("skipped");
        bool statesId = handler != std::string("id");
        reader.begin("a", cancelling.make(handler));
        std::string id = statesId ? std::string("Request-Id: ") + (isSkipped ? "b" : "a") + "\r\n" : "";
        reader.receive("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\nbody");
        CHECK(cancelling.calls == 1);
        CHECK(cancelling.wasOwnedAlive);
        CHECK(cancelling.observer.expired());
        CHECK_FALSE(reader.isActive());
    }
}

namespace {

// Counts what a reader passes to the handlers.
struct RecordingHandlers {
    UpstreamHandlers make()
    {
        UpstreamHandlers handlers;
        handlers.onHead = [this](const HttpResponse& head) { status = head.status; };
        handlers.onBody = [this](std::string_view part) { body += part; };
        handlers.onEnd = [this] { hasEnded = true; };
        handlers.onFailure = [] {};
        return handlers;
    }

    int status { 0 };
    std::string body;
    bool hasEnded { false };
};

const std::string soundResponse = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok";

}

// Guards against a response whose status is none, and that counts as informational or as a success.
TEST_CASE("a status outside 100 to 599, or an upgrade that was not requested, makes a response invalid")
{
    for (const std::string status : { "000", "001", "020", "099", "101", "600", "999" }) {
        for (const std::string& rest : { std::string("Content-Length: 0\r\n\r\n"), "Request-Id: a\r\nContent-Length: 0\r\n\r\n" + soundResponse }) {
            CAPTURE(status);
            CAPTURE(rest);
            ResponseReader reader("Request-Id");
            RecordingHandlers recording;
            reader.begin("a", recording.make());
            CHECK(reader.receive(std::string("HTTP/1.1 ").append(status).append(" X\r\n").append(rest)) == ResponseReader::Result::Invalid);
            CHECK(recording.status == 0);
            CHECK_FALSE(recording.hasEnded);
        }
    }
}

// Guards against the opposite: legal statuses that are rare.
TEST_CASE("informational responses are skipped, and every final status up to 599 is passed on")
{
    for (const std::string informational : { "100 Continue", "102 Processing", "103 Early Hints", "199 " }) {
        CAPTURE(informational);
        ResponseReader reader("Request-Id");
        RecordingHandlers recording;
        reader.begin("a", recording.make());
        std::string head = "HTTP/1.1 " + informational + "\r\nLink: <x>\r\n\r\n";
        reader.receive(head);
        CHECK(reader.receive(head + soundResponse) == ResponseReader::Result::Continue);
        CHECK(recording.status == 200);
        CHECK(recording.body == "ok");
        CHECK(recording.hasEnded);
    }
    for (int status : { 200, 226, 299, 300, 399, 418, 499, 500, 599 }) {
        CAPTURE(status);
        ResponseReader reader("Request-Id");
        RecordingHandlers recording;
        reader.begin("a", recording.make());
        reader.receive("HTTP/1.1 " + std::to_string(status) + " \r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok");
        CHECK(recording.status == status);
        CHECK(recording.hasEnded);
    }
}

}

#include "Forwarding/ResponseReader.h"

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

}

// An engine of a service, as seen by its callers.
#pragma once

#include "StandIns.h"

namespace StandIns {

struct EngineSettings {
    std::string id;
    std::string service;
    std::string zone;
    Address address;
    int slots { 6 };
};

// Serves requests with a handler, which gets the connection and the request and writes the whole answer. Returns false to
// end the connection. Registers itself in the store.
class Engine {
public:
    using Handler = std::function<bool(Engine&, const std::shared_ptr<Connection>&, const Message&)>;

    Engine(const EngineSettings& settings, Store& store, Handler handler)
        : settings_(settings)
        , store_(store)
        , handler_(std::move(handler))
        , born_(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , listener_(settings.address, [this](const std::shared_ptr<Connection>& connection) { serve(connection); })
    {
        beat("ready");
        std::thread([this] {
            while (true) {
                sleepMs(1200);
                beat(state_);
            }
        }).detach();
    }

    const EngineSettings& settings() const { return settings_; }

    void beat(const std::string& state)
    {
        state_ = state;
        Json entry = { { "Service", settings_.service }, { "Address", settings_.address.text() }, { "Zone", settings_.zone }, { "Version", 1 }, { "Slots", settings_.slots },
            { "State", state }, { "ColdRemainingMs", 0 }, { "Sequence", ++sequence_ }, { "born", born_ } };
        store_.put("servers", settings_.id, entry.dump());
    }

    // Returns the headers that an engine adds to each answer to this request.
    std::string commonHeaders(const Message& request) const
    {
        return "X-Damaskgrade-Request-Id: " + request.header("X-Damaskgrade-Request-Id") + "\r\n";
    }

    // Returns a complete refusal of an engine that is full.
    std::string refusal(const Message& request) const
    {
        return "HTTP/1.1 503 Service Unavailable\r\n" + commonHeaders(request) + "X-Damaskgrade-Not-Executed: full\r\nX-Damaskgrade-Server-Load: "
            + std::to_string(settings_.slots) + ",24," + std::to_string(settings_.slots) + "\r\nContent-Length: 4\r\n\r\nfull";
    }

    std::string success(const Message& request, const std::string& body) const
    {
        return "HTTP/1.1 200 OK\r\n" + commonHeaders(request) + "X-Damaskgrade-Response-Signature: " + settings_.id + ".1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

private:
    void serve(const std::shared_ptr<Connection>& connection)
    {
        while (std::optional<Message> request = connection->readRequest(5000)) {
            if (request->header("X-Damaskgrade-Expect-Instance") != settings_.id) {
                connection->send("HTTP/1.1 421 Misdirected\r\n" + commonHeaders(*request) + "X-Damaskgrade-Not-Executed: other\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (!handler_(*this, connection, *request))
                return;
        }
    }

    EngineSettings settings_;
    Store& store_;
    Handler handler_;
    std::int64_t born_;
    std::atomic<std::uint64_t> sequence_ { 0 };
    std::string state_ { "ready" };
    Listener listener_;
};

}

#include "Transport/LinkServer.h"

#include "Transport/WebsocketSession.h"

#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

#include <set>

namespace Damaskgrade {

namespace {

using WebsocketServer = websocketpp::server<websocketpp::config::asio>;
using ServerSession = WebsocketSession<WebsocketServer>;

}

struct LinkServer::State {
    WebsocketServer server;
    std::shared_ptr<LinkCounters> counters { std::make_shared<LinkCounters>() };
    std::set<std::shared_ptr<LinkSession>> sessions;
    LinkHandlers handlers;
    LinkKeys keys;
    bool stopped { false };
};

// The handlers of a connection keep the state alive, because the connection uses the websocket endpoint in it
// until the connection has ended.
LinkHandlers LinkServer::trackedHandlers(const std::shared_ptr<State>& state)
{
    LinkHandlers tracked;
    tracked.onOpen = [state](const std::shared_ptr<LinkSession>& session) {
        if (state->stopped)
            return;
        state->sessions.insert(session);
        state->handlers.onOpen(session);
    };
    tracked.onFrame = [state](const std::shared_ptr<LinkSession>& session, const Frame& frame) {
        if (!state->stopped)
            state->handlers.onFrame(session, frame);
    };
    tracked.onClose = [state](const std::shared_ptr<LinkSession>& session) {
        bool wasOpen = state->sessions.erase(session) > 0;
        if (wasOpen && !state->stopped)
            state->handlers.onClose(session);
    };
    return tracked;
}

LinkServer::LinkServer(EventLoop& loop, const Endpoint& listen, const LinkKeys& keys, LinkHandlers handlers)
    : state_(std::make_shared<State>())
{
    std::shared_ptr<State> state = state_;
    state->handlers = std::move(handlers);
    state->keys = keys;
    WebsocketServer& server = state->server;
    server.clear_access_channels(websocketpp::log::alevel::all);
    server.clear_error_channels(websocketpp::log::elevel::all);
    websocketpp::lib::error_code failure;
    server.init_asio(&loop.context(), failure);
    server.set_reuse_addr(true);
    server.set_tcp_post_init_handler([&server](websocketpp::connection_hdl handle) {
        websocketpp::lib::error_code ignored;
        WebsocketServer::connection_ptr connection = server.get_con_from_hdl(handle, ignored);
        if (!connection)
            return;
        boost::system::error_code optionFailure;
        connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), optionFailure);
    });
    // The websocket endpoint is part of the state, so its handlers must not hold a shared pointer to the state.
    std::weak_ptr<State> weakState = state;
    server.set_validate_handler([weakState](websocketpp::connection_hdl handle) {
        std::shared_ptr<State> current = weakState.lock();
        websocketpp::lib::error_code ignored;
        WebsocketServer::connection_ptr connection = current ? current->server.get_con_from_hdl(handle, ignored) : nullptr;
        if (!connection || current->stopped)
            return false;
        std::make_shared<ServerSession>(connection, current->counters)->attach(trackedHandlers(current), current->keys, LinkSide::Server);
        return true;
    });
    if (!failure)
        server.listen(boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(listen.address), listen.port), failure);
    if (!failure)
        server.start_accept(failure);
    if (failure)
        throw Error(ResultCode::SettingsInvalid, "cannot listen on " + formatEndpoint(listen) + ": " + failure.message());
}

LinkServer::~LinkServer()
{
    state_->stopped = true;
    websocketpp::lib::error_code ignored;
    state_->server.stop_listening(ignored);
    for (const std::shared_ptr<LinkSession>& session : state_->sessions)
        session->close();
}

const LinkCounters& LinkServer::counters() const
{
    return *state_->counters;
}

}

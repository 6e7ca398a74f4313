#include "Transport/LinkClient.h"

#include "Transport/WebsocketSession.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include <algorithm>

namespace Damaskgrade {

namespace {

using WebsocketClient = websocketpp::client<websocketpp::config::asio_client>;
using ClientSession = WebsocketSession<WebsocketClient>;

constexpr std::chrono::milliseconds minReconnectDelay { 50 };
constexpr std::chrono::milliseconds maxReconnectDelay { 2000 };
constexpr long openTimeoutMilliseconds = 2000;

}

struct LinkClient::State : std::enable_shared_from_this<LinkClient::State> {
    State(EventLoop& eventLoop, Random& randomSource, const Endpoint& endpoint, const LinkKeys& linkKeys, LinkHandlers linkHandlers)
        : loop(eventLoop)
        , random(randomSource)
        , server(endpoint)
        , keys(linkKeys)
        , handlers(std::move(linkHandlers))
    {
    }

    void connect();
    void scheduleReconnect();
    LinkHandlers trackedHandlers();

    EventLoop& loop;
    Random& random;
    Endpoint server;
    LinkKeys keys;
    LinkHandlers handlers;
    WebsocketClient client;
    std::shared_ptr<LinkCounters> counters { std::make_shared<LinkCounters>() };
    std::shared_ptr<LinkSession> session;
    std::unique_ptr<Timer> reconnectTimer;
    std::chrono::milliseconds reconnectDelay { minReconnectDelay };
    bool stopped { false };
};

LinkHandlers LinkClient::State::trackedHandlers()
{
    std::shared_ptr<State> self = shared_from_this();
    LinkHandlers tracked;
    tracked.onOpen = [self](const std::shared_ptr<LinkSession>& opened) {
        if (self->stopped) {
            opened->close();
            return;
        }
        self->session = opened;
        self->reconnectDelay = minReconnectDelay;
        self->handlers.onOpen(opened);
    };
    tracked.onFrame = [self](const std::shared_ptr<LinkSession>& source, const Frame& frame) {
        if (!self->stopped)
            self->handlers.onFrame(source, frame);
    };
    tracked.onClose = [self](const std::shared_ptr<LinkSession>& closed) {
        bool wasOpen = self->session == closed;
        self->session = nullptr;
        if (self->stopped)
            return;
        if (wasOpen)
            self->handlers.onClose(closed);
        self->scheduleReconnect();
    };
    return tracked;
}

void LinkClient::State::connect()
{
    websocketpp::lib::error_code failure;
    WebsocketClient::connection_ptr connection = client.get_connection("ws://" + formatEndpoint(server) + "/", failure);
    if (failure) {
        scheduleReconnect();
        return;
    }
    std::shared_ptr<State> self = shared_from_this();
    std::shared_ptr<ClientSession> opening = std::make_shared<ClientSession>(connection, counters);
    opening->attach(trackedHandlers(), keys, LinkSide::Client);
    connection->set_open_handshake_timeout(openTimeoutMilliseconds);
    connection->set_fail_handler([self, opening](websocketpp::connection_hdl) {
        if (!self->stopped)
            self->scheduleReconnect();
    });
    client.connect(connection);
}

// Waits for a random time between half of the delay and the full delay, so that the clients of a restarted
// server don't reconnect simultaneously.
void LinkClient::State::scheduleReconnect()
{
    auto half = reconnectDelay / 2;
    std::chrono::milliseconds delay = half + std::chrono::milliseconds(random.index(static_cast<std::size_t>(half.count()) + 1));
    reconnectDelay = std::min(reconnectDelay * 2, maxReconnectDelay);
    std::weak_ptr<State> self = weak_from_this();
    reconnectTimer = loop.after(delay, [self] {
        std::shared_ptr<State> state = self.lock();
        if (state && !state->stopped)
            state->connect();
    });
}

LinkClient::LinkClient(EventLoop& loop, Random& random, const Endpoint& server, const LinkKeys& keys, LinkHandlers handlers)
    : state_(std::make_shared<State>(loop, random, server, keys, std::move(handlers)))
{
    WebsocketClient& client = state_->client;
    client.clear_access_channels(websocketpp::log::alevel::all);
    client.clear_error_channels(websocketpp::log::elevel::all);
    websocketpp::lib::error_code ignored;
    client.init_asio(&loop.context(), ignored);
    client.set_tcp_post_init_handler([&client](websocketpp::connection_hdl handle) {
        websocketpp::lib::error_code failure;
        WebsocketClient::connection_ptr connection = client.get_con_from_hdl(handle, failure);
        boost::system::error_code optionFailure;
        if (connection)
            connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), optionFailure);
    });
    state_->connect();
}

LinkClient::~LinkClient()
{
    state_->stopped = true;
    state_->reconnectTimer = nullptr;
    if (state_->session)
        state_->session->close();
}

std::shared_ptr<LinkSession> LinkClient::session() const
{
    return state_->session;
}

const LinkCounters& LinkClient::counters() const
{
    return *state_->counters;
}

}

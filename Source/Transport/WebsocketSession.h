#pragma once

#include "Core/Error.h"
#include "Transport/Link.h"
#include "Transport/LinkHandshake.h"

#include <websocketpp/connection.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace Damaskgrade {

// A link over a websocketpp connection. Include this header only in LinkServer.cpp and LinkClient.cpp.
template <typename WebsocketEndpoint>
class WebsocketSession : public LinkSession, public std::enable_shared_from_this<WebsocketSession<WebsocketEndpoint>> {
public:
    using ConnectionPointer = typename WebsocketEndpoint::connection_ptr;
    using MessagePointer = typename WebsocketEndpoint::message_ptr;

    WebsocketSession(ConnectionPointer connection, std::shared_ptr<LinkCounters> counters)
        : connection_(connection)
        , counters_(std::move(counters))
    {
    }

    void send(const Frame& frame) override
    {
        if (isOpen_)
            write(frame);
    }

    void close() override
    {
        isClosedLocally_ = true;
        websocketpp::lib::error_code ignored;
        if (ConnectionPointer connection = connection_.lock())
            connection->close(websocketpp::close::status::normal, "", ignored);
    }

    std::size_t pendingBytes() const override
    {
        ConnectionPointer connection = connection_.lock();
        return connection ? connection->get_buffered_amount() : 0;
    }

    // Registers the handlers with the connection, which keeps the session alive until the connection closes.
    // If keys are given, the link opens once the peer has proven that it has one of them.
    void attach(const LinkHandlers& handlers, const LinkKeys& keys, LinkSide side)
    {
        if (!keys.isEmpty())
            handshake_.emplace(keys, side, makeNonce());
        auto self = this->shared_from_this();
        ConnectionPointer connection = connection_.lock();
        connection->set_max_message_size(maxFrameBytes);
        connection->set_close_handshake_timeout(closeTimeoutMilliseconds);
        connection->set_open_handler([self, handlers](websocketpp::connection_hdl) {
            if (self->handshake_)
                self->startHandshake();
            else
                self->open(handlers);
        });
        connection->set_message_handler([self, handlers](websocketpp::connection_hdl, MessagePointer message) {
            self->receive(handlers, message->get_payload());
        });
        connection->set_close_handler([self, handlers](websocketpp::connection_hdl) {
            self->isOpen_ = false;
            ++self->counters_->closed;
            self->handshakeTimer_ = nullptr;
            self->countRejectedFrame();
            handlers.onClose(self);
        });
    }

private:
    // The time after which a connection is closed if the peer does not complete the closing handshake.
    static constexpr long closeTimeoutMilliseconds = 1000;
    static constexpr long handshakeTimeoutMilliseconds = 5000;

    void write(const Frame& frame)
    {
        Bytes bytes = encodeFrame(frame);
        ++counters_->framesSent;
        counters_->bytesSent += bytes.size();
        if (ConnectionPointer connection = connection_.lock())
            connection->send(bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
    }

    void open(const LinkHandlers& handlers)
    {
        isOpen_ = true;
        ++counters_->opened;
        handlers.onOpen(this->shared_from_this());
    }

    void startHandshake()
    {
        write(handshake_->challenge());
        std::weak_ptr<WebsocketSession> weak = this->weak_from_this();
        ConnectionPointer connection = connection_.lock();
        handshakeTimer_ = connection->set_timer(handshakeTimeoutMilliseconds, [weak](websocketpp::lib::error_code failure) {
            std::shared_ptr<WebsocketSession> self = weak.lock();
            if (!failure && self && !self->isOpen_)
                self->failHandshake();
        });
    }

    void continueHandshake(const LinkHandlers& handlers, const Frame& frame)
    {
        std::optional<Frame> response = handshake_->receive(frame);
        if (response)
            write(*response);
        if (handshake_->state() == HandshakeState::Failed)
            failHandshake();
        if (handshake_->state() != HandshakeState::Done)
            return;
        handshakeTimer_->cancel();
        open(handlers);
    }

    void failHandshake()
    {
        ++counters_->failedHandshakes;
        close();
    }

    // Counts a frame that websocketpp has rejected because it is too large or malformed. In this case, websocketpp closes
    // the connection without calling receive().
    void countRejectedFrame()
    {
        ConnectionPointer connection = connection_.lock();
        websocketpp::close::status::value code = connection->get_local_close_code();
        bool isRejected = code == websocketpp::close::status::message_too_big || code == websocketpp::close::status::protocol_error;
        // If the peer does not complete the closing handshake, the code of the timeout replaces the original one.
        bool closeTimedOut = connection->get_ec() == websocketpp::error::make_error_code(websocketpp::error::close_handshake_timeout)
            && connection->get_remote_close_code() == websocketpp::close::status::abnormal_close;
        if (isRejected || (closeTimedOut && !isClosedLocally_))
            ++counters_->badFrames;
    }

    void receive(const LinkHandlers& handlers, const std::string& payload)
    {
        ++counters_->framesReceived;
        counters_->bytesReceived += payload.size();
        try {
            const std::uint8_t* data = reinterpret_cast<const std::uint8_t*>(payload.data());
            Frame frame = decodeFrame(ByteView(data, payload.size()));
            if (isOpen_)
                handlers.onFrame(this->shared_from_this(), frame);
            else if (handshake_)
                continueHandshake(handlers, frame);
        } catch (const Error& error) {
            if (error.code() != ResultCode::BadFrame)
                throw;
            ++counters_->badFrames;
        }
    }

    // The handlers of the connection keep the session alive. A shared pointer to the connection would form a cycle:
    // the socket would never be closed, and a peer that continues to send would block.
    std::weak_ptr<typename ConnectionPointer::element_type> connection_;
    std::shared_ptr<LinkCounters> counters_;
    std::optional<LinkHandshake> handshake_;
    typename WebsocketEndpoint::connection_type::timer_ptr handshakeTimer_;
    bool isOpen_ { false };
    bool isClosedLocally_ { false };
};

}

#pragma once

#include "Transport/HttpServer.h"

namespace Damaskgrade {

// An exchange that discards the response. Used to handle a duplicated request a second time.
class DiscardingExchange : public HttpExchange {
public:
    explicit DiscardingExchange(HttpRequest request);

    const HttpRequest& request() const override { return request_; }
    void respond(HttpResponse) override { }
    void beginStream(HttpResponse) override { }
    void write(std::string_view) override { }
    void endStream() override { }
    void abort() override { }
    std::size_t pendingBytes() const override { return 0; }
    void setCloseHandler(std::function<void()>) override { }

private:
    HttpRequest request_;
};

// An exchange that replaces the response by status 503 or a closed connection, after the request has been handled.
class LostResponseExchange : public HttpExchange {
public:
    LostResponseExchange(std::shared_ptr<HttpExchange> inner, bool closesConnection);

    const HttpRequest& request() const override { return inner_->request(); }
    void respond(HttpResponse response) override;
    void beginStream(HttpResponse) override { }
    void write(std::string_view) override { }
    void endStream() override { loseResponse(); }
    void abort() override { inner_->abort(); }
    std::size_t pendingBytes() const override { return 0; }
    void setCloseHandler(std::function<void()> handler) override;

private:
    void loseResponse();

    std::shared_ptr<HttpExchange> inner_;
    bool closesConnection_;
};

}

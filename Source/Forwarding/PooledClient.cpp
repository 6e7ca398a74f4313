#include "Forwarding/PooledClient.h"

#include <utility>

namespace Damaskgrade {

namespace {

// Far above the size of any report.
constexpr std::size_t maxResponseBytes = 4U << 20U;

}

// One pending request. It ends once: with a response, a failure or a timeout.
struct PooledClient::Call {
    std::string serverName;
    Endpoint server;
    std::string bytes;
    bool isRead { false };
    std::function<void(HttpResponse)> onResponse;
    std::function<void(const HttpFailure&)> onFailure;
    std::unique_ptr<Timer> timer;
    std::shared_ptr<UpstreamConnection> connection;
    HttpResponse response;
    bool isDone { false };

    void fail(ResultCode code)
    {
        if (isDone)
            return;
        isDone = true;
        timer = nullptr;
        bool wasSent = connection != nullptr;
        if (connection)
            connection->close();
        onFailure({ code, wasSent });
    }
};

PooledClient::PooledClient(EventLoop& loop, const Clock& clock)
    : PooledClient(loop, clock, [&loop] { return makeUpstreamConnection(loop, {}); })
{
}

PooledClient::PooledClient(TaskScheduler& scheduler, const Clock& clock, UpstreamPool::Factory factory)
    : scheduler_(scheduler)
    , pool_(std::make_shared<UpstreamPool>(clock, UpstreamPoolSettings {}, std::move(factory)))
{
}

void PooledClient::send(const Endpoint& server, const HttpRequest& request, std::chrono::milliseconds timeout, std::function<void(HttpResponse)> onResponse, std::function<void(const HttpFailure&)> onFailure)
{
    auto call = std::make_shared<Call>();
    call->serverName = formatEndpoint(server);
    call->server = server;
    call->bytes = serializeRequest(request, formatEndpoint(server), true);
    call->isRead = request.method == "GET";
    call->onResponse = std::move(onResponse);
    call->onFailure = std::move(onFailure);
    std::weak_ptr<Call> weak = call;
    call->timer = scheduler_.after(timeout, [weak] {
        if (std::shared_ptr<Call> expired = weak.lock())
            expired->fail(ResultCode::Timeout);
    });
    start(pool_, call, call->isRead);
}

void PooledClient::start(const std::shared_ptr<UpstreamPool>& pool, const std::shared_ptr<Call>& call, bool mayReuse)
{
    pool->acquire(call->serverName, call->server, std::nullopt, mayReuse, [pool, call](std::shared_ptr<UpstreamConnection> connection, bool isReused) {
        if (call->isDone) {
            if (connection)
                pool->release(call->serverName, std::move(connection));
            return;
        }
        if (!connection) {
            call->fail(ResultCode::ConnectionFailed);
            return;
        }
        call->connection = connection;
        UpstreamHandlers handlers;
        handlers.onHead = [call](const HttpResponse& head) { call->response = head; };
        handlers.onBody = [call](std::string_view body) {
            if (call->response.body.size() + body.size() > maxResponseBytes)
                call->fail(ResultCode::ConnectionFailed);
            else
                call->response.body.append(body);
        };
        handlers.onEnd = [pool, call] {
            if (call->isDone)
                return;
            call->isDone = true;
            call->timer = nullptr;
            pool->release(call->serverName, std::move(call->connection));
            call->onResponse(std::move(call->response));
        };
        handlers.onFailure = [pool, call, isReused] {
            if (call->isDone || !isReused || !call->isRead) {
                call->fail(ResultCode::ConnectionFailed);
                return;
            }
            call->connection = nullptr;
            start(pool, call, false);
        };
        connection->exchange({ std::nullopt, call->bytes }, std::move(handlers));
    });
}

}

#include "Forwarding/SimulatedConnection.h"

#include <memory>
#include <utility>

namespace Damaskgrade {

SimulatedConnection::SimulatedConnection(const std::string& idHeader, bool acceptsConnection)
    : reader_(idHeader)
    , acceptsConnection_(acceptsConnection)
{
}

void SimulatedConnection::connect(const Endpoint&, std::chrono::milliseconds, std::function<void(bool)> done)
{
    isOpen_ = acceptsConnection_;
    done(acceptsConnection_);
}

void SimulatedConnection::exchange(UpstreamRequest request, UpstreamHandlers handlers)
{
    requests_.push_back(std::move(request.bytes));
    onIdleLost_ = nullptr;
    reader_.begin(std::move(request.id), std::move(handlers));
}

void SimulatedConnection::close()
{
    isOpen_ = false;
    onIdleLost_ = nullptr;
    reader_.cancel();
}

void SimulatedConnection::receive(std::string_view bytes)
{
    std::shared_ptr<UpstreamConnection> self = shared_from_this();
    if (!isOpen_)
        return;
    if (!reader_.isActive()) {
        std::function<void()> onLost = std::move(onIdleLost_);
        close();
        if (onLost)
            onLost();
        return;
    }
    if (reader_.receive(bytes) == ResponseReader::Result::Continue)
        return;
    fail();
}

void SimulatedConnection::fail()
{
    std::shared_ptr<UpstreamConnection> self = shared_from_this();
    isOpen_ = false;
    if (std::shared_ptr<UpstreamHandlers> handlers = reader_.cancel())
        handlers->onFailure();
}

}

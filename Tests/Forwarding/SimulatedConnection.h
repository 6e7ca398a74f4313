#pragma once

#include "Transport/ResponseReader.h"
#include "Transport/UpstreamConnection.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// A connection whose server is played by the test. It is open at once and reads responses like a real connection.
class SimulatedConnection : public UpstreamConnection {
public:
    // Without acceptsConnection, the server refuses the connection.
    SimulatedConnection(const std::string& idHeader, bool acceptsConnection);

    void connect(const Endpoint& server, std::chrono::milliseconds timeout, std::function<void(bool)> done) override;
    void exchange(UpstreamRequest request, UpstreamHandlers handlers) override;
    void close() override;
    void watchIdle(std::function<void()> onLost) override { onIdleLost_ = std::move(onLost); }
    bool isReusable() const override { return isOpen_ && reader_.canContinue() && !reader_.isActive(); }
    bool canIdentify(const std::optional<std::string>& requestId) const override { return reader_.canIdentify(requestId); }
    std::chrono::milliseconds keepAliveTime() const override { return reader_.keepAliveTime(); }

    // Delivers bytes from the server. They are lost if the connection is closed.
    void receive(std::string_view bytes);

    // Breaks the connection during an exchange.
    void fail();

    bool isOpen() const { return isOpen_; }

    // The requests that the server has received.
    const std::vector<std::string>& requests() const { return requests_; }

private:
    ResponseReader reader_;
    std::vector<std::string> requests_;
    std::function<void()> onIdleLost_;
    bool acceptsConnection_ { true };
    bool isOpen_ { false };
};

}

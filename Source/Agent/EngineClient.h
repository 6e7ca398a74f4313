#pragma once

#include "Agent/AgentSettings.h"
#include "Calls/CallMessages.h"
#include "MapSwitch/ExpertLoadMessages.h"
#include "Transport/HttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Damaskgrade {

// Describes why a call at the engine failed.
struct EngineFailure {
    // False only if the engine certainly did not start the call.
    bool mayHaveStarted { true };
    std::string detail;
};

struct EngineCallHandlers {
    // Receives text. The offset is the position of its first byte in the complete answer.
    std::function<void(std::uint64_t offset, std::string_view text)> onText;
    // Receives the size of the complete answer in bytes.
    std::function<void(std::uint64_t total)> onEnd;
    std::function<void(const EngineFailure&)> onFailure;
};

// HTTP client for the engine of the agent.
class EngineClient {
public:
    EngineClient(EventLoop& loop, const AgentSettings& settings);
    ~EngineClient();

    // Starts a call. Exactly one of onEnd and onFailure is called, unless the call is cancelled.
    // The key identifies the call for cancel().
    void start(const std::string& key, const CallMessage& call, EngineCallHandlers handlers);

    // Cancels a running call: closes its connection and sends the engine a cancel request, whose result is
    // ignored. Has no effect if no call with this key is running.
    void cancel(const std::string& key);

    // Fetches the load report. Passes std::nullopt to the callback if the request fails or the response is not
    // valid.
    void fetchLoad(std::function<void(std::optional<LoadReport>)> done);

    // Fetches the cache events after the given sequence number. The callback is not called if the request
    // fails or the response is not valid.
    void fetchCacheEvents(std::uint64_t after, std::function<void(const std::vector<CacheEvent>&)> done);

    // Fetches the load of the experts and ranks. Group and agent of the message are not set. Passes
    // std::nullopt to the callback if the request fails or the response is not valid.
    void fetchExpertLoad(std::function<void(const std::optional<ExpertLoadMessage>&)> done);

    // Post an order or read the order state. The callback gets the HTTP status (0 if the request failed) and the
    // JSON body.
    void postOrder(const std::string& body, std::function<void(int, const std::string&)> done);
    void fetchOrderState(std::function<void(int, const std::string&)> done);

private:
    struct RunningCall;

    void startCompletion(const std::string& key, const CallMessage& call, EngineCallHandlers handlers);
    void startService(const std::string& key, const CallMessage& call, EngineCallHandlers handlers);
    void finish(const std::string& key);

    EventLoop& loop_;
    Endpoint engine_;
    HttpClient callClient_;
    HttpClient controlClient_;
    std::map<std::string, std::shared_ptr<RunningCall>> running_;
};

}

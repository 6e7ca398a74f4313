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

// How a call at the engine ended without an answer.
struct EngineFailure {
    // False if the engine provably never received the call.
    bool mayHaveStarted { true };
    std::string detail;
};

struct EngineCallHandlers {
    // Text of the answer at a byte offset from the start of the whole answer.
    std::function<void(std::uint64_t offset, std::string_view text)> onText;
    std::function<void(std::uint64_t total)> onEnd;
    std::function<void(const EngineFailure&)> onFailure;
};

// Speaks HTTP to the backend server beside the agent.
class EngineClient {
public:
    EngineClient(EventLoop& loop, const AgentSettings& settings);
    ~EngineClient();

    // Starts a call. Exactly one of onEnd and onFailure is called, unless the call is cancelled.
    // The key identifies the call for cancel().
    void start(const std::string& key, const CallMessage& call, EngineCallHandlers handlers);

    void cancel(const std::string& key);

    // Gets no report if the engine does not answer.
    void fetchLoad(std::function<void(std::optional<LoadReport>)> done);

    // Gets the events after the given sequence number.
    void fetchCacheEvents(std::uint64_t after, std::function<void(const std::vector<CacheEvent>&)> done);

    // Gets the load of the experts and ranks, without group and agent; nothing if the engine does not answer.
    void fetchExpertLoad(std::function<void(const std::optional<ExpertLoadMessage>&)> done);

    // Posts an order or reads the order state; gets the status (0 without a connection) and the JSON body.
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

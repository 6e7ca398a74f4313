#pragma once

#include "Agent/EngineClient.h"
#include "MapSwitch/MapEngine.h"

namespace Damaskgrade {

// Sends map orders to the engine of the agent over HTTP.
class HttpMapEngine : public MapEngine {
public:
    explicit HttpMapEngine(EngineClient& engine);

    void prepare(const Epoch& epoch, MapVersion version, const std::string& map, std::function<void(ResultCode)> done) override;
    void arm(const Epoch& epoch, std::uint64_t step, MapVersion version, std::function<void(ResultCode)> done) override;
    void release(const Epoch& epoch, MapVersion version, std::function<void(ResultCode)> done) override;
    void refuse(const Epoch& epoch, std::function<void(ResultCode)> done) override;
    void state(std::function<void(ResultCode, const MapEngineState&)> done) override;

private:
    EngineClient& engine_;
};

}

#pragma once

#include "MapSwitch/MapEngine.h"

#include <chrono>

namespace Damaskgrade {

// Implements the engine's part of a map switch, without delays or faults.
class FakeEngine {
public:
    explicit FakeEngine(bool checksToken)
        : checksToken_(checksToken)
    {
    }

    void restart();
    ResultCode prepare(const Epoch& epoch, MapVersion version);
    void finishLoading() { state_.preparedVersion = loadingVersion_; }
    ResultCode arm(const Epoch& epoch, std::uint64_t step, MapVersion version);
    ResultCode release(const Epoch& epoch, MapVersion version);
    ResultCode refuse(const Epoch& epoch);
    MapEngineState state() const;

    bool isReadyFor(std::uint64_t step) const;
    // Executes the step and returns the map version that the ranks use in it.
    MapVersion execute(std::uint64_t step);
    MapVersion loadingVersion() const { return loadingVersion_; }

private:
    bool isStale(const Epoch& epoch);

    bool checksToken_;
    std::uint64_t highestToken_ { 0 };
    MapEngineState state_;
    MapVersion loadingVersion_ { noMap };
    std::uint64_t armedStep_ { 0 };
    // The map version in use. After the release of a switch, the old version until switchStep_.
    MapVersion usedVersion_ { noMap };
    std::uint64_t switchStep_ { 0 };
};

}

#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace Damaskgrade {

// The result of an order, with the status of its HTTP response.
struct OrderResult {
    int status { 200 };
    std::string error;
};

// What an engine was ordered to do: its model, role, and the expert map by step.
// Steps are counted from 1; 0 means that no step is known yet. Map version 0 means that there is no map.
class EngineOrders {
public:
    using Json = nlohmann::json;

    struct Options {
        std::string model;
        std::string role;
        // Refuses orders whose fencing token is lower than the highest seen.
        bool checksFencing { false };
        // Runs no step without a map from an order, and takes over only the step of its group.
        bool waitsForMap { false };
        std::uint64_t mapVersion { 0 };
    };

    explicit EngineOrders(const Options& options);

    // Checks the fencing token and takes it as the highest. Called when an order arrives.
    OrderResult checkFencing(const Json& order);

    // Carries out an order that has passed the check and whose weights are loaded.
    OrderResult apply(const Json& order);

    // Says whether the engine may begin this step, and promises to if so.
    bool tryBegin(std::uint64_t step);

    // Returns the expert map that the engine uses in a step.
    std::uint64_t mapVersionAt(std::uint64_t step) const;

    // Takes over the step of the group, and its map unless the engine waits for one, after a restart of this engine.
    void applyGroupState(std::uint64_t lastStep, std::uint64_t mapVersion);

    // The step has ended.
    void finish(std::uint64_t step);

    // Says whether the engine is armed and has reached the step before which it waits for the outcome.
    bool isBlocked() const;

    bool isPrepared(std::uint64_t mapVersion) const { return preparedVersion_ == mapVersion; }
    std::uint64_t lastStep() const { return lastStep_; }
    Json state() const;

private:
    // The fencing token and the sequence, which order all epochs.
    using Epoch = std::pair<std::uint64_t, std::uint64_t>;

    struct ArmedSwitch {
        Epoch epoch;
        // 0 for a recovery, which blocks the engine at once.
        std::uint64_t mapVersion { 0 };
        std::uint64_t step { 0 };
    };

    OrderResult prepare(const Json& order);
    OrderResult arm(const Json& order);
    OrderResult armSwitch(const ArmedSwitch& next);
    OrderResult refuse(const Json& order);
    OrderResult release(const Json& order);
    bool isBlockedAt(std::uint64_t step) const;

    Options options_;
    std::uint64_t highestToken_ { 0 };
    // The map of the last outcome, which is used from switchStep_ on, and the one used before.
    std::uint64_t mapVersion_;
    std::uint64_t lastUsedMapVersion_;
    std::uint64_t switchStep_ { 0 };
    std::uint64_t lastStep_ { 0 };
    std::uint64_t committedStep_ { 0 };
    std::uint64_t preparedVersion_ { 0 };
    std::optional<ArmedSwitch> armed_;
    // The highest epoch that was released or refused, and the map that a release gave.
    Epoch settled_;
    std::optional<std::uint64_t> releasedVersion_;
    Json adapters_ = Json::array();
};

}

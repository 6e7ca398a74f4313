#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace Damaskgrade {

// The result of an order: the status of its HTTP response, and an error message unless the status is 200.
struct OrderResult {
    int status { 200 };
    std::string error;
};

// The state of an engine that orders change: its model, its role and the expert map that it uses in each step.
// Steps are counted from 1; 0 means that no step is known yet. Map version 0 means that there is no map.
class EngineOrders {
public:
    using Json = nlohmann::json;

    struct Options {
        std::string model;
        std::string role;
        // Refuses orders whose fencing token is lower than the highest one received.
        bool checksFencing { false };
        // Runs no step before an order has set a map. After a restart it applies only the step of its group, not the map.
        bool waitsForMap { false };
        std::uint64_t mapVersion { 0 };
    };

    explicit EngineOrders(const Options& options);

    // Checks the fencing token of an order and records it if it is the highest. Called when an order arrives, and again
    // once its weights are loaded.
    OrderResult checkFencing(const Json& order);

    // Executes an order that has passed the fencing check and whose weights are loaded.
    OrderResult apply(const Json& order);

    // Returns whether the engine may begin this step. If so, it is committed to the step: a later order can't block it
    // before this step.
    bool tryBegin(std::uint64_t step);

    // Returns the version of the expert map that the engine uses in a step.
    std::uint64_t mapVersionAt(std::uint64_t step) const;

    // After a restart of this engine, applies the last step of the group, and also its map unless waitsForMap is set.
    void applyGroupState(std::uint64_t lastStep, std::uint64_t mapVersion);

    // Records the end of a step.
    void finish(std::uint64_t step);

    // Returns whether the engine is armed and its next step is one that it must not begin before a release.
    bool isBlocked() const;

    bool isPrepared(std::uint64_t mapVersion) const { return preparedVersion_ == mapVersion; }
    std::uint64_t lastStep() const { return lastStep_; }
    Json state() const;

private:
    // The fencing token and the sequence number. Epochs are compared in this order.
    using Epoch = std::pair<std::uint64_t, std::uint64_t>;

    struct ArmedSwitch {
        Epoch epoch;
        // 0 for a recovery, which blocks the engine immediately.
        std::uint64_t mapVersion { 0 };
        // The first step with the new map. The engine doesn't begin it before the release.
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
    // The map of the last release, used from switchStep_ on, and the map of the last finished step, used before switchStep_.
    std::uint64_t mapVersion_;
    std::uint64_t lastUsedMapVersion_;
    std::uint64_t switchStep_ { 0 };
    std::uint64_t lastStep_ { 0 };
    // The highest step that tryBegin has allowed.
    std::uint64_t committedStep_ { 0 };
    std::uint64_t preparedVersion_ { 0 };
    std::optional<ArmedSwitch> armed_;
    // The highest epoch that was released or refused, and the map version of the release if it was released.
    Epoch settled_;
    std::optional<std::uint64_t> releasedVersion_;
    Json adapters_ = Json::array();
};

}

#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace Damaskgrade {

// The result of an order, with the status of its HTTP response.
struct OrderResult {
    int status { 200 };
    std::string error;
};

// What an engine was ordered to do: its model, role, and the expert map by step.
// Steps are counted from 1; 0 means that no step is known yet.
class EngineOrders {
public:
    using Json = nlohmann::json;

    struct Options {
        std::string model;
        std::string role;
        // Refuses orders whose fencing token is lower than the highest seen.
        bool checksFencing { false };
        // Runs no step before the order "join".
        bool waitsForJoin { false };
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

    // Takes over the step and the map of the group, after a restart of this engine.
    void adopt(std::uint64_t lastStep, std::uint64_t mapVersion);

    // The step has ended.
    void finish(std::uint64_t step);

    std::uint64_t lastStep() const { return lastStep_; }
    Json state() const;

private:
    struct PreparedMap {
        Json epoch;
        std::uint64_t mapVersion { 0 };
    };
    struct ArmedSwitch {
        PreparedMap map;
        std::uint64_t step { 0 };
        // Set by the release: whether the map changes at the step.
        std::optional<bool> switches;
    };

    OrderResult prepare(const Json& order);
    OrderResult arm(const Json& order);
    OrderResult refuse(const Json& order);
    OrderResult release(const Json& order);
    OrderResult join(const Json& order);
    void rememberRefusal(const Json& epoch);
    bool isRefused(const Json& epoch) const;
    bool isBlockedAt(std::uint64_t step) const;

    Options options_;
    std::uint64_t highestToken_ { 0 };
    std::uint64_t mapVersion_;
    std::uint64_t lastStep_ { 0 };
    std::uint64_t promisedStep_ { 0 };
    bool mayStep_;
    std::optional<PreparedMap> prepared_;
    std::optional<ArmedSwitch> armed_;
    std::optional<ArmedSwitch> lastReleased_;
    std::deque<Json> refusedEpochs_;
    Json adapters_ = Json::array();
};

}

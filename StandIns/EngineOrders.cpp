#include "StandIns/EngineOrders.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

constexpr std::size_t maxRefusedEpochs = 64;

OrderResult refused(const std::string& reason)
{
    return { 409, reason };
}

}

EngineOrders::EngineOrders(const Options& options)
    : options_(options)
    , mapVersion_(options.mapVersion)
    , mayStep_(!options.waitsForJoin)
{
}

OrderResult EngineOrders::checkFencing(const Json& order)
{
    std::uint64_t token = order.at("fencing_token").get<std::uint64_t>();
    if (options_.checksFencing && token < highestToken_)
        return refused("the fencing token is stale");
    highestToken_ = std::max(highestToken_, token);
    return {};
}

OrderResult EngineOrders::apply(const Json& order)
{
    std::string kind = order.at("kind").get<std::string>();
    if (kind == "prepare")
        return prepare(order);
    if (kind == "arm")
        return arm(order);
    if (kind == "refuse")
        return refuse(order);
    if (kind == "release")
        return release(order);
    if (kind == "join")
        return join(order);
    if (kind == "load_model")
        options_.model = order.at("model").get<std::string>();
    else if (kind == "load_adapter")
        adapters_.push_back(order.at("adapter"));
    else if (kind == "set_role")
        options_.role = order.at("role").get<std::string>();
    else
        return { 400, "unknown kind of order" };
    return {};
}

bool EngineOrders::tryBegin(std::uint64_t step)
{
    if (!mayStep_ || isBlockedAt(step))
        return false;
    promisedStep_ = std::max(promisedStep_, step);
    return true;
}

std::uint64_t EngineOrders::mapVersionAt(std::uint64_t step) const
{
    bool isSwitched = armed_ && armed_->switches.value_or(false) && step >= armed_->step;
    return isSwitched ? armed_->map.mapVersion : mapVersion_;
}

void EngineOrders::adopt(std::uint64_t lastStep, std::uint64_t mapVersion)
{
    lastStep_ = lastStep;
    mapVersion_ = mapVersion;
}

void EngineOrders::finish(std::uint64_t step)
{
    mapVersion_ = mapVersionAt(step);
    lastStep_ = step;
    promisedStep_ = std::max(promisedStep_, step);
    if (armed_ && armed_->switches && step >= armed_->step)
        armed_.reset();
}

EngineOrders::Json EngineOrders::state() const
{
    return {
        { "highest_token", highestToken_ },
        { "step", lastStep_ },
        { "map_version", mapVersion_ },
        { "armed_epoch", armed_ ? armed_->map.epoch : Json() },
        { "armed_step", armed_ ? Json(armed_->step) : Json() },
        { "prepared_epoch", prepared_ ? prepared_->epoch : Json() },
        { "prepared_map_version", prepared_ ? Json(prepared_->mapVersion) : Json() },
        { "released_epoch", lastReleased_ ? lastReleased_->map.epoch : Json() },
        { "released_switch", lastReleased_ ? Json(*lastReleased_->switches) : Json() },
        { "refused_epochs", refusedEpochs_ },
        { "blocked", isBlockedAt(lastStep_ + 1) },
        { "waits_for_join", !mayStep_ },
        { "role", options_.role },
        { "model", options_.model },
        { "adapters", adapters_ },
    };
}

OrderResult EngineOrders::prepare(const Json& order)
{
    if (armed_ && !armed_->switches)
        return refused("the engine is armed for another epoch");
    if (isRefused(order.at("epoch")))
        return refused("the epoch was refused");
    prepared_ = PreparedMap { order.at("epoch"), order.at("map_version").get<std::uint64_t>() };
    return {};
}

OrderResult EngineOrders::arm(const Json& order)
{
    const Json& epoch = order.at("epoch");
    std::uint64_t step = order.at("step").get<std::uint64_t>();
    if (armed_) {
        bool isRepeated = armed_->map.epoch == epoch && armed_->step == step;
        return isRepeated ? OrderResult {} : refused("the engine is armed already");
    }
    if (isRefused(epoch))
        return refused("the epoch was refused");
    if (!prepared_ || prepared_->epoch != epoch)
        return refused("the epoch is not prepared");
    if (lastStep_ == 0 || step <= promisedStep_) {
        rememberRefusal(epoch);
        return refused("the engine can't block before this step any more");
    }
    armed_ = ArmedSwitch { *prepared_, step, std::nullopt };
    return {};
}

OrderResult EngineOrders::refuse(const Json& order)
{
    const Json& epoch = order.at("epoch");
    bool wasArmed = (armed_ && armed_->map.epoch == epoch) || (lastReleased_ && lastReleased_->map.epoch == epoch);
    if (wasArmed)
        return refused("the engine is armed for this epoch");
    rememberRefusal(epoch);
    return {};
}

OrderResult EngineOrders::release(const Json& order)
{
    const Json& epoch = order.at("epoch");
    bool switches = order.value("switch", true);
    if (lastReleased_ && lastReleased_->map.epoch == epoch)
        return *lastReleased_->switches == switches ? OrderResult {} : refused("the epoch was released with another outcome");
    if (!armed_ || armed_->map.epoch != epoch)
        return refused("the engine is not armed for this epoch");
    armed_->switches = switches;
    lastReleased_ = armed_;
    // A switch that does not happen needs no further step to take effect.
    if (!switches)
        armed_.reset();
    return {};
}

OrderResult EngineOrders::join(const Json& order)
{
    if (lastStep_ != 0 || promisedStep_ != 0)
        return refused("the engine has run steps already");
    mapVersion_ = order.at("map_version").get<std::uint64_t>();
    mayStep_ = true;
    return {};
}

void EngineOrders::rememberRefusal(const Json& epoch)
{
    if (isRefused(epoch))
        return;
    refusedEpochs_.push_back(epoch);
    if (refusedEpochs_.size() > maxRefusedEpochs)
        refusedEpochs_.pop_front();
}

bool EngineOrders::isRefused(const Json& epoch) const
{
    return std::find(refusedEpochs_.begin(), refusedEpochs_.end(), epoch) != refusedEpochs_.end();
}

bool EngineOrders::isBlockedAt(std::uint64_t step) const
{
    return armed_ && !armed_->switches && step >= armed_->step;
}

}

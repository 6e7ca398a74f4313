#include "StandIns/EngineOrders.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

OrderResult refused(const std::string& reason)
{
    return { 409, reason };
}

}

EngineOrders::EngineOrders(const Options& options)
    : options_(options)
    , mapVersion_(options.mapVersion)
    , lastUsedMapVersion_(options.mapVersion)
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
    bool lacksMap = options_.waitsForMap && mapVersion_ == 0;
    if (lacksMap || isBlockedAt(step))
        return false;
    committedStep_ = std::max(committedStep_, step);
    return true;
}

std::uint64_t EngineOrders::mapVersionAt(std::uint64_t step) const
{
    return step >= switchStep_ ? mapVersion_ : lastUsedMapVersion_;
}

void EngineOrders::applyGroupState(std::uint64_t lastStep, std::uint64_t mapVersion)
{
    lastStep_ = lastStep;
    if (options_.waitsForMap)
        return;
    mapVersion_ = mapVersion;
    lastUsedMapVersion_ = mapVersion;
}

void EngineOrders::finish(std::uint64_t step)
{
    lastUsedMapVersion_ = mapVersionAt(step);
    lastStep_ = step;
    committedStep_ = std::max(committedStep_, step);
}

EngineOrders::Json EngineOrders::state() const
{
    return {
        { "highest_token", highestToken_ },
        { "step", lastStep_ },
        { "map_version", mapVersion_ },
        { "prepared_version", preparedVersion_ },
        { "armed_epoch", armed_ ? Json(armed_->epoch) : Json() },
        { "armed_version", armed_ ? armed_->mapVersion : 0 },
        { "armed_step", armed_ ? Json(armed_->step) : Json() },
        { "settled_epoch", settled_ },
        { "blocked", isBlocked() },
        { "role", options_.role },
        { "model", options_.model },
        { "adapters", adapters_ },
    };
}

OrderResult EngineOrders::prepare(const Json& order)
{
    std::uint64_t version = order.at("map_version").get<std::uint64_t>();
    // The release of the armed map needs the weights that are prepared now.
    if (armed_ && armed_->mapVersion != 0 && armed_->mapVersion != version)
        return refused("the engine is armed for another map");
    if (order.at("epoch").get<Epoch>() <= settled_)
        return refused("the epoch is settled");
    preparedVersion_ = version;
    return {};
}

OrderResult EngineOrders::arm(const Json& order)
{
    ArmedSwitch next { order.at("epoch").get<Epoch>(), order.at("map_version").get<std::uint64_t>(), order.value("step", std::uint64_t { 0 }) };
    if (armed_ && armed_->epoch == next.epoch) {
        bool isResent = armed_->mapVersion == next.mapVersion && armed_->step == next.step;
        return isResent ? OrderResult {} : refused("the engine is armed with another map or step for this epoch");
    }
    if (next.epoch <= settled_)
        return refused("the epoch is settled");
    if (armed_ && next.epoch < armed_->epoch)
        return refused("the engine is armed for a higher epoch");
    if (next.mapVersion != 0)
        return armSwitch(next);
    armed_ = next;
    return {};
}

OrderResult EngineOrders::armSwitch(const ArmedSwitch& next)
{
    if (armed_)
        return refused("the engine is armed already");
    if (mapVersion_ == 0)
        return refused("the engine has no map");
    if (mapVersionAt(lastStep_ + 1) != mapVersion_)
        return refused("the step of the last switch is not reached");
    if (preparedVersion_ != next.mapVersion)
        return refused("the map is not prepared");
    if (next.step <= std::max(lastStep_, committedStep_)) {
        settled_ = next.epoch;
        releasedVersion_.reset();
        return refused("the engine is already committed to this step");
    }
    armed_ = next;
    return {};
}

OrderResult EngineOrders::refuse(const Json& order)
{
    Epoch epoch = order.at("epoch").get<Epoch>();
    if (armed_)
        return refused("the engine is armed");
    if (mapVersion_ == 0)
        return refused("the engine has no map");
    if (epoch == settled_ && !releasedVersion_)
        return {};
    if (epoch <= settled_)
        return refused("the epoch is settled");
    settled_ = epoch;
    releasedVersion_.reset();
    return {};
}

OrderResult EngineOrders::release(const Json& order)
{
    Epoch epoch = order.at("epoch").get<Epoch>();
    std::uint64_t version = order.at("map_version").get<std::uint64_t>();
    if (!armed_ && epoch == settled_ && releasedVersion_ == version)
        return {};
    if (!armed_ || armed_->epoch != epoch)
        return refused("the engine is not armed for this epoch");
    if (version == 0 || (version != mapVersion_ && version != preparedVersion_))
        return refused("the map is not loaded");
    if (armed_->mapVersion == 0) {
        lastUsedMapVersion_ = version;
        switchStep_ = 0;
    } else if (version != mapVersion_) {
        switchStep_ = armed_->step;
    }
    mapVersion_ = version;
    settled_ = epoch;
    releasedVersion_ = version;
    armed_.reset();
    return {};
}

bool EngineOrders::isBlocked() const
{
    return isBlockedAt(lastStep_ + 1);
}

bool EngineOrders::isBlockedAt(std::uint64_t step) const
{
    return armed_ && (armed_->mapVersion == 0 || step >= armed_->step);
}

}

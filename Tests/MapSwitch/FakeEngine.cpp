#include "MapSwitch/FakeEngine.h"

namespace Damaskgrade {

void FakeEngine::restart()
{
    *this = FakeEngine(checksToken_);
}

bool FakeEngine::isStale(const Epoch& epoch)
{
    if (!checksToken_)
        return false;
    if (epoch.token < highestToken_)
        return true;
    highestToken_ = epoch.token;
    return false;
}

ResultCode FakeEngine::prepare(const Epoch& epoch, MapVersion version)
{
    if (isStale(epoch))
        return ResultCode::FencingTokenStale;
    if (state_.preparedVersion != version)
        loadingVersion_ = version;
    return ResultCode::Ok;
}

ResultCode FakeEngine::arm(const Epoch& epoch, std::uint64_t step, MapVersion version)
{
    if (isStale(epoch))
        return ResultCode::FencingTokenStale;
    if (state_.armed && *state_.armed == epoch)
        return ResultCode::Ok;
    if (!(state_.settled < epoch) || (state_.armed && epoch < *state_.armed))
        return ResultCode::MapRefused;
    if (version != noMap) {
        bool isPending = usedVersion_ != state_.mapVersion;
        if (state_.armed || isPending || state_.mapVersion == noMap || step <= state_.step || state_.preparedVersion != version)
            return ResultCode::MapRefused;
    }
    state_.armed = epoch;
    state_.armedVersion = version;
    armedStep_ = step;
    return ResultCode::Ok;
}

ResultCode FakeEngine::release(const Epoch& epoch, MapVersion version)
{
    if (isStale(epoch))
        return ResultCode::FencingTokenStale;
    if (!state_.armed || *state_.armed != epoch || version == noMap || (version != state_.mapVersion && version != state_.preparedVersion))
        return ResultCode::MapRefused;
    if (state_.armedVersion == noMap) {
        usedVersion_ = version;
    } else if (version != state_.mapVersion) {
        switchStep_ = armedStep_;
    }
    state_.mapVersion = version;
    state_.settled = epoch;
    state_.armed.reset();
    state_.armedVersion = noMap;
    return ResultCode::Ok;
}

ResultCode FakeEngine::refuse(const Epoch& epoch)
{
    if (isStale(epoch))
        return ResultCode::FencingTokenStale;
    if (state_.armed || state_.mapVersion == noMap || !(state_.settled < epoch))
        return ResultCode::MapRefused;
    state_.settled = epoch;
    return ResultCode::Ok;
}

MapEngineState FakeEngine::state() const
{
    MapEngineState state = state_;
    state.isBlocked = state_.armed && state_.step + 1 >= armedStep_;
    return state;
}

bool FakeEngine::isReadyFor(std::uint64_t step) const
{
    return state_.mapVersion != noMap && (!state_.armed || (state_.armedVersion != noMap && step < armedStep_));
}

MapVersion FakeEngine::execute(std::uint64_t step)
{
    if (usedVersion_ != state_.mapVersion && step >= switchStep_)
        usedVersion_ = state_.mapVersion;
    state_.step = step;
    return usedVersion_;
}

}

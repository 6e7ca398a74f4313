#include "PrefixAffinity/PrefixWeighing.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

constexpr double tokensPerUnitOfContext = 1000;
constexpr double millisecondsPerSecond = 1000;
constexpr double pairsPerMillion = 1e6;

}

double readingMilliseconds(const EngineModel& engine, double tokens)
{
    if (engine.promptTokensPerSecond <= 0)
        return 0;
    double pairs = tokens * tokens / 2;
    return tokens / engine.promptTokensPerSecond * millisecondsPerSecond + pairs / pairsPerMillion * engine.millisecondsPerMillionPairs;
}

double millisecondsPerRequest(const EngineModel& engine)
{
    double contextMilliseconds = engine.contextMillisecondsPerStep * engine.usualPromptTokens / tokensPerUnitOfContext;
    return engine.usualAnswerTokens * (engine.requestMillisecondsPerStep + contextMilliseconds);
}

double memoryPressure(const EngineModel& engine, double inFlight)
{
    if (engine.tokenCapacity <= 0)
        return 0;
    return inFlight * (engine.usualPromptTokens + engine.usualAnswerTokens) / engine.tokenCapacity;
}

double savedMilliseconds(const EngineModel& engine, gsl::span<const HeldPart> parts, const PrefixHolder& holder)
{
    // The other entries are assumed to send the same prefixes as this one.
    double entriesFactor = holder.ownInFlight > 0 ? std::max(1.0, holder.inFlight / holder.ownInFlight) : 1;
    double tokens = 0;
    double saved = 0;
    for (const HeldPart& part : parts) {
        double before = readingMilliseconds(engine, tokens);
        tokens += part.tokens;
        if (engine.tokenCapacity > 0)
            tokens = std::min(tokens, engine.tokenCapacity);
        // A second copy costs one reading and is then shared by about as many requests as share the first one now.
        double sharers = std::max(1.0, part.running * entriesFactor);
        saved += part.likelihood * (readingMilliseconds(engine, tokens) - before) / sharers;
    }
    // Reading delays the request and all others at the server. A further request delays itself by the others and each of them
    // by itself, which counts twice in the difference between two servers.
    return saved * (1 + holder.inFlight) / 2;
}

double prefixCost(const EngineModel& engine, gsl::span<const HeldPart> parts, const PrefixHolder& holder)
{
    double perRequest = millisecondsPerRequest(engine);
    if (perRequest <= 0 || !holder.isSound || holder.inFlight >= holder.slots)
        return 0;
    return -std::min(holder.slots, savedMilliseconds(engine, parts, holder) / perRequest);
}

}

#include "PrefixAffinity/PrefixAffinity.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Damaskgrade {

PrefixAffinity::PrefixAffinity(const Clock& clock, const FleetView& fleet, const InFlightTracker& loads, PrefixAffinitySettings settings, PrefixAffinityHooks hooks)
    : fleet_(fleet)
    , loads_(loads)
    , settings_(settings)
    , hooks_(std::move(hooks))
    , index_(clock, settings.index)
{
}

SelectionRule PrefixAffinity::makeRule()
{
    SelectionRule rule;
    rule.name = "prefixAffinity";
    rule.assess = [this](const ServerRecord& server, const ServerSelectionRequest& request) { return assess(server, request); };
    rule.onSend = [this](const ServerRecord& server, const ServerSelectionRequest& request) { recordSend(server, request); };
    rule.onFirstEvent = [this](const ServerRecord& server, const ServerSelectionRequest& request) { index_.recordFirstEvent(server, request.prompt); };
    rule.onEnd = [this](const ServerRecord& server, const ServerSelectionRequest& request) { index_.recordEnd(server, request.prompt); };
    return rule;
}

ServerAssessment PrefixAffinity::assess(const ServerRecord& server, const ServerSelectionRequest& request)
{
    ServerAssessment assessment;
    std::optional<EngineModel> engine = request.prompt.empty() ? std::nullopt : hooks_.findEngine(request.service);
    if (!engine)
        return assessment;
    PrefixHolder holder;
    holder.inFlight = loads_.inFlight(server.id);
    holder.ownInFlight = ownInFlight(server.id);
    holder.slots = server.slots > 0 ? server.slots : engine->slots;
    // A server that is cold has restarted or was idle.
    holder.isSound = server.remainingWarmUp.value_or(std::chrono::milliseconds::zero()) <= std::chrono::milliseconds::zero() && hooks_.isSound(server);
    assessment.cost = prefixCost(*engine, heldParts(server, request, memoryPressure(*engine, holder.inFlight)), holder);
    return assessment;
}

std::vector<HeldPart> PrefixAffinity::heldParts(const ServerRecord& server, const ServerSelectionRequest& request, double pressure)
{
    std::vector<HeldPart> parts = index_.held(server, request.prompt, pressure);
    double likelihood = settings_.homeLikelihood * std::clamp(1 - pressure, 0.0, 1.0);
    bool isHome = settings_.index.retention > Duration::zero() && request.prompt.size() > 1 && likelihood > 0 && homeOf(request) == server.id;
    // The last part belongs to the request or to its session.
    for (std::size_t i = 0; isHome && i + 1 < request.prompt.size(); ++i) {
        if (i == parts.size())
            parts.push_back({ request.prompt[i].tokens, likelihood, 0 });
        parts[i].likelihood = std::max(parts[i].likelihood, likelihood);
    }
    return parts;
}

const std::string& PrefixAffinity::homeOf(const ServerSelectionRequest& request)
{
    PromptPart part = request.prompt.front().part;
    if (home_.part == part && home_.asOf == fleet_.asOf() && home_.service == request.service)
        return home_.serverId;
    home_ = { std::string(request.service), part, fleet_.asOf(), "" };
    std::uint64_t highest = 0;
    for (const ServerRecord* server : fleet_.ready(request.service)) {
        std::uint64_t hash = XXH64(server->id.data(), server->id.size(), part);
        if (home_.serverId.empty() || hash > highest) {
            home_.serverId = server->id;
            highest = hash;
        }
    }
    return home_.serverId;
}

void PrefixAffinity::recordSend(const ServerRecord& server, const ServerSelectionRequest& request)
{
    if (request.prompt.empty())
        return;
    ++counters_.sends;
    if (std::optional<EngineModel> engine = hooks_.findEngine(request.service)) {
        double pressure = memoryPressure(*engine, loads_.inFlight(server.id));
        std::vector<HeldPart> parts = heldParts(server, request, pressure);
        counters_.sendsToHolders += parts.empty() ? 0 : 1;
        for (const HeldPart& part : parts)
            counters_.expectedTokens += part.likelihood * part.tokens;
        index_.recordPressure(server, pressure);
    }
    index_.recordSend(server, request.prompt);
}

double PrefixAffinity::ownInFlight(std::string_view serverId) const
{
    auto found = loads_.localCounts().find(serverId);
    return found == loads_.localCounts().end() ? 0 : found->second;
}

}

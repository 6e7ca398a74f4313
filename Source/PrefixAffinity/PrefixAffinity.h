#pragma once

#include "Fleet/FleetView.h"
#include "Forwarding/InFlightTracker.h"
#include "Forwarding/SelectionRule.h"
#include "PrefixAffinity/PrefixIndex.h"
#include "PrefixAffinity/PrefixWeighing.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

struct PrefixAffinitySettings {
    PrefixIndexSettings index;
    // Likelihood that the home of a prompt's first part holds all parts but the last because of requests of other entries. With
    // 0.5, responses took up to 2% longer in the comparison of PrefixAffinity/ComparisonTest.cpp.
    double homeLikelihood { 0.8 };
};

struct PrefixAffinityHooks {
    // Returns the published figures of the service's engine.
    std::function<std::optional<EngineModel>(std::string_view service)> findEngine;
    // Returns whether the server is served without a restriction: neither ejected nor admitted slowly after an ejection.
    std::function<bool(const ServerRecord&)> isSound;
};

struct PrefixAffinityCounters {
    // Sends of requests that state their prompt, and those of them to a server that was preferred as a holder.
    std::uint64_t sends { 0 };
    std::uint64_t sendsToHolders { 0 };
    // Tokens that the servers were expected to hold at these sends.
    double expectedTokens { 0 };
};

// Prefers servers that still hold the beginning of a request's prompt, by as much as this saves. What other entries have sent
// is not known. So that all entries place a new prefix at the same server without a message, each first part has a home, the
// server with the highest hash, which is assumed to hold the prefix with the likelihood of PrefixAffinitySettings.
class PrefixAffinity {
public:
    PrefixAffinity(const Clock& clock, const FleetView& fleet, const InFlightTracker& loads, PrefixAffinitySettings settings, PrefixAffinityHooks hooks);

    // Returns the rule for the server selection. This object must outlive it.
    SelectionRule makeRule();

    void forget(std::string_view serverId) { index_.forget(serverId); }

    const PrefixIndex& index() const { return index_; }
    const PrefixAffinityCounters& counters() const { return counters_; }

private:
    ServerAssessment assess(const ServerRecord& server, const ServerSelectionRequest& request);
    std::vector<HeldPart> heldParts(const ServerRecord& server, const ServerSelectionRequest& request, double pressure);
    const std::string& homeOf(const ServerSelectionRequest& request);
    void recordSend(const ServerRecord& server, const ServerSelectionRequest& request);
    double ownInFlight(std::string_view serverId) const;

    // The home that was determined last, for the servers that were known at a time.
    struct Home {
        std::string service;
        PromptPart part { 0 };
        TimePoint asOf;
        std::string serverId;
    };

    const FleetView& fleet_;
    const InFlightTracker& loads_;
    PrefixAffinitySettings settings_;
    PrefixAffinityHooks hooks_;
    PrefixIndex index_;
    PrefixAffinityCounters counters_;
    Home home_;
};

}

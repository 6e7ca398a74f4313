#pragma once

#include "Core/ResultCode.h"
#include "Routing/BackendServerTable.h"

#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// The requirements of a call for its backend server.
struct SelectionRequest {
    BackendServerKind kind { BackendServerKind::Model };
    std::string_view serves;
    // Empty if any version is acceptable.
    std::string_view version;
    // Empty if the call uses no adapter.
    std::string_view adapter;
    EngineRole role { EngineRole::Any };
    // If above zero, the engine starts the call before its queued calls.
    std::int32_t priority { 0 };
    // Prefix hashes of the prompt as returned by promptBlockHashes.
    gsl::span<const std::uint64_t> prefix;
    // Expected number of tokens of the response.
    std::uint32_t expectedTokens { 128 };
    // Names of the servers that this call has already tried.
    gsl::span<const std::string> tried;
};

struct Selection {
    // Ok, NoBackendServer (no server can serve the call) or Overloaded (no ticket is available; wait for one).
    ResultCode code { ResultCode::NoBackendServer };
    std::string server;
    // Set only by BackendServerSelector.
    Duration expectedTimeToFirstToken { 0 };
    std::size_t expectedHitBlocks { 0 };
};

// Interface of the policies that select the backend server for a call.
class Selector {
public:
    virtual ~Selector() = default;
    virtual Selection select(const SelectionRequest& request) = 0;
};

// The servers that can get a call, regardless of their load.
struct Eligibility {
    std::vector<const BackendServer*> withTicket;
    // Number of eligible servers, including those without a ticket.
    std::size_t count { 0 };
};

// Returns the connected servers that can serve the call, except draining, suspected and already tried ones.
// If all of them are suspected, the suspected servers are returned, because the suspicion may be wrong.
// A draining server is never returned.
Eligibility eligibleServers(const BackendServerTable& table, const SelectionRequest& request);

}

#pragma once

#include "Core/ResultCode.h"
#include "Routing/BackendServerTable.h"

#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// What a call needs of a backend server.
struct SelectionRequest {
    BackendServerKind kind { BackendServerKind::Model };
    std::string_view serves;
    // Empty: any version.
    std::string_view version;
    // Empty: no adapter.
    std::string_view adapter;
    EngineRole role { EngineRole::Any };
    // Above zero: the engine runs the call before its waiting calls.
    std::int32_t priority { 0 };
    // From promptBlockHashes.
    gsl::span<const std::uint64_t> prefix;
    // Tokens of the answer, as far as known.
    std::uint32_t expectedTokens { 128 };
    // Servers that this call has tried already.
    gsl::span<const std::string> tried;
};

struct Selection {
    // Ok, NoBackendServer (none serves the call) or Overloaded (no ticket is held; wait for one).
    ResultCode code { ResultCode::NoBackendServer };
    std::string server;
    // Expected time until the first token; only BackendServerSelector estimates it.
    Duration expectedTimeToFirstToken { 0 };
    std::size_t expectedHitBlocks { 0 };
};

// Selects the backend server of one call.
class Selector {
public:
    virtual ~Selector() = default;
    virtual Selection select(const SelectionRequest& request) = 0;
};

// The servers that may get a call, whatever their load.
struct Eligibility {
    std::vector<const BackendServer*> withTicket;
    // Also counts servers without a ticket.
    std::size_t count { 0 };
};

// Returns the connected servers that serve the call, without draining, suspected and tried ones.
// If suspected servers are the only ones, they are returned, because suspicion may be wrong;
// a draining server is never returned.
Eligibility eligibleServers(const BackendServerTable& table, const SelectionRequest& request);

}

#pragma once

#include "Core/Clock.h"
#include "Fleet/ServerRecord.h"
#include "Forwarding/PromptSegment.h"

#include <gsl/span>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Damaskgrade {

// A request for which a backend server is selected.
struct ServerSelectionRequest {
    std::string_view service;
    // Servers that are selected only after all servers of the service have been tried.
    gsl::span<const std::string> tried;
    // Servers without a free slot may be selected.
    bool mayQueue { false };
    // 0 is the highest priority.
    std::int32_t priority { 0 };
    // The response can no longer begin within the target latency of the route.
    bool isLate { false };
    // The parts of the prompt, in order. Empty unless parts that a server holds are considered.
    gsl::span<const PromptSegment> prompt {};
};

// What a rule states about one server for one request.
struct ServerAssessment {
    // The request must not be sent to the server now.
    bool isExcluded { false };
    // Time after which an excluded server may be sent the request, if the rule knows it.
    std::optional<Duration> retryAfter;
    // Upper bound of the requests in flight at the server, if the rule sets one.
    std::optional<double> capacity;
    // Added when servers are compared, in requests in flight. Negative for a server that is preferred.
    double cost { 0 };
};

// One consideration in the selection of a server. Modules that know something of servers provide rules, so that the selector
// does not depend on them.
struct SelectionRule {
    // Appears in refusals and logs.
    std::string name;
    std::function<ServerAssessment(const ServerRecord&, const ServerSelectionRequest&)> assess;
    // The rule is applied again when the connection for a request has been opened. Not for rules that limit a rate, because
    // the request itself is counted by then.
    bool isAppliedToOpenConnections { false };
    // Called for each request that is sent to a server, also if no connection can be opened. May be empty.
    std::function<void(const ServerRecord&, const ServerSelectionRequest&)> onSend;
    // Called for the first event or the complete response of a request, and once for the end of each one that was sent. May
    // be empty.
    std::function<void(const ServerRecord&, const ServerSelectionRequest&)> onFirstEvent {};
    std::function<void(const ServerRecord&, const ServerSelectionRequest&)> onEnd {};
};

}

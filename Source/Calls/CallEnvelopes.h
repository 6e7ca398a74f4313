#pragma once

#include "Calls/CallMessages.h"

#include <variant>

namespace Damaskgrade {

// The messages that an entry sends to an agent for a call.
using EntryMessage = std::variant<CallMessage, CancelMessage, ResolveMessage, FetchMessage>;

// The messages that an agent sends to an entry for a call.
using AgentMessage = std::variant<TicketsMessage, RefusedMessage, PartMessage, EndMessage, ResolutionMessage>;

}

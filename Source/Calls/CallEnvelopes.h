#pragma once

#include "Calls/CallMessages.h"

#include <variant>

namespace Damaskgrade {

// What an entry sends to an agent for a call.
using EntryMessage = std::variant<CallMessage, CancelMessage, ResolveMessage, FetchMessage>;

// What an agent sends to an entry for a call.
using AgentMessage = std::variant<TicketsMessage, RefusedMessage, PartMessage, EndMessage, ResolutionMessage>;

}

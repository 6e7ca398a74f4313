#include "Gateway/QuarantineLog.h"

#include <gsl/span>

namespace Damaskgrade {

namespace {

// Lines for events of one kind in one turn of the event loop.
constexpr std::size_t maxLines = 16;

std::string_view eventName(QuarantineEvent event)
{
    switch (event) {
    case QuarantineEvent::Suspected:
        return "promptPartSuspected";
    case QuarantineEvent::Blocked:
        return "promptPartBlocked";
    case QuarantineEvent::Unblocked:
    case QuarantineEvent::Cleared:
        return "promptPartCleared";
    case QuarantineEvent::ProbeClaimed:
        break;
    }
    return "promptProbeClaimed";
}

}

QuarantineLog::QuarantineLog(DecisionLog& log)
    : log_(log)
{
}

void QuarantineLog::record(PromptPart part, QuarantineEvent event, std::uint32_t crashes, bool isLocal)
{
    std::string_view name = eventName(event);
    if (++events_[name] <= maxLines)
        log_.write(LogLine(name).add("promptPart", formatPromptParts(gsl::make_span(&part, 1))).add("crashes", crashes).add("fromPeer", !isLocal));
}

void QuarantineLog::flush()
{
    for (const auto& [name, count] : events_) {
        if (count > maxLines)
            log_.write(LogLine("promptPartEventsOmitted").add("omitted", name).add("count", std::uint64_t { count - maxLines }));
    }
    events_.clear();
}

}

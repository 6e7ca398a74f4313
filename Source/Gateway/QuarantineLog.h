#pragma once

#include "Logging/DecisionLog.h"
#include "Quarantine/PromptQuarantine.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace Damaskgrade {

// Logs what changes in the quarantine. One crash can change hundreds of prompt parts, which must not displace the other lines
// of the log.
class QuarantineLog {
public:
    explicit QuarantineLog(DecisionLog& log);

    void record(PromptPart part, QuarantineEvent event, std::uint32_t crashes, bool isLocal);

    // Logs how many events of each kind got no line since the last call. Call after each turn of the event loop that has events.
    void flush();

private:
    DecisionLog& log_;
    // Events since the last call of flush(), by name.
    std::map<std::string_view, std::size_t> events_;
};

}

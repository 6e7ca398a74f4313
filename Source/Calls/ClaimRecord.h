#pragma once

#include "Calls/CallMessages.h"

#include <string>
#include <string_view>

namespace Damaskgrade {

enum class ClaimState {
    // The ticket may be used by the owner, or the call runs or ran under it.
    Claimed,
    // The call ended. The code and the answer are stored.
    Done,
    // No attempt was started. The next caller may make a new attempt.
    Released,
};

// The value of a claim row: who may execute the call of an idempotency key, and its answer.
struct ClaimRecord {
    std::uint64_t fingerprint { 0 };
    std::uint32_t attempt { 0 };
    // The call id of the owner, which is unique over all entries.
    std::string owner;
    Ticket ticket;
    ClaimState state { ClaimState::Claimed };
    ResultCode code { ResultCode::Ok };
    std::string answer;
};

bool operator==(const ClaimRecord& left, const ClaimRecord& right);

std::string encodeClaim(const ClaimRecord& record);

// Throws Error(BadFrame) if the text is no claim.
ClaimRecord decodeClaim(std::string_view text);

// Returns the key of a claim row. The parts are escaped, so that two keys never give one row.
std::string claimRowKey(std::string_view customer, std::string_view service, std::string_view operation, std::string_view key);

// Returns a hash of the request, by which a key that is reused for another request is noticed.
std::uint64_t requestFingerprint(std::string_view operation, std::string_view payload);

}

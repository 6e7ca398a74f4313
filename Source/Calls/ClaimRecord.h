#pragma once

#include "Calls/CallMessages.h"

#include <string>
#include <string_view>

namespace Damaskgrade {

enum class ClaimState {
    // The owner may still use the ticket, or has already started the call with it.
    Claimed,
    // The call ended. Its code and answer are stored.
    Done,
    // The call was not started. The next request with this key may start a new attempt.
    Released,
};

// The value of a claim row: which call may be executed for an idempotency key, and its answer.
struct ClaimRecord {
    std::uint64_t fingerprint { 0 };
    std::uint32_t attempt { 0 };
    // Call id of the owner. Unique over all entries.
    std::string owner;
    Ticket ticket;
    ClaimState state { ClaimState::Claimed };
    ResultCode code { ResultCode::Ok };
    std::string answer;
};

bool operator==(const ClaimRecord& left, const ClaimRecord& right);

std::string encodeClaim(const ClaimRecord& record);

// Throws Error(BadFrame) if the text is not a valid claim.
ClaimRecord decodeClaim(std::string_view text);

// Returns the key of a claim row. The parts are escaped, so that different parts never give the same row.
std::string claimRowKey(std::string_view customer, std::string_view service, std::string_view operation, std::string_view key);

// Returns a hash of the request, to detect a key that is reused for another request.
std::uint64_t requestFingerprint(std::string_view operation, std::string_view payload);

}

#pragma once

#include <cstdint>
#include <string_view>

namespace Damaskgrade {

// Numbered results that are reported to callers and operators. docs/result-codes.md lists all of them.
enum class ResultCode : std::uint16_t {
    Ok = 0,

    // Requests.
    MalformedRequest = 1001,
    RequestTooLarge = 1002,
    UnknownRoute = 1003,
    MissingIdempotencyKey = 1004,
    IdempotencyKeyReused = 1005,
    UnknownCustomer = 1006,
    UnknownService = 1007,
    UnknownModel = 1008,
    InvalidDeadline = 1009,

    // Admission and routing.
    DeadlineNotReachable = 2001,
    DeadlinePassed = 2002,
    CustomerLimitReached = 2003,
    InstanceDraining = 2004,
    NoBackendServer = 2005,
    Overloaded = 2006,
    RetryBudgetSpent = 2007,
    NotReady = 2008,
    PromptQuarantined = 2009,

    // Execution.
    TicketInvalid = 3001,
    ConfigurationOutdated = 3002,
    BackendServerRefused = 3003,
    OutcomeUnknown = 3004,
    StreamInterrupted = 3005,
    StreamNotFound = 3006,
    Cancelled = 3007,
    BackendServerFailed = 3008,

    // Platform.
    TableUnavailable = 4001,
    TableConflict = 4002,
    ObjectStoreUnavailable = 4003,
    InstanceListUnavailable = 4004,
    WeightStoreUnavailable = 4005,
    ObjectNotFound = 4006,

    // Configuration.
    DocumentInvalid = 5001,
    VersionMismatch = 5002,
    NotSectionOwner = 5003,
    UnknownSection = 5004,
    ChangeRefused = 5005,
    ChangeUndecided = 5006,
    UnknownChange = 5007,
    ChangeInProgress = 5008,

    // Expert maps and orders.
    FencingTokenStale = 6001,
    FencingTokenUnknown = 6002,
    MapRefused = 6003,
    LeaseLost = 6004,

    // Processes and their links.
    SettingsInvalid = 7001,
    BadFrame = 7002,
    LinkClosed = 7003,
    Timeout = 7004,
    ConnectionFailed = 7005,
    Internal = 7999,
};

// Whether a call was executed, as far as is known.
enum class Executed {
    No,
    Unknown,
    Yes,
};

// Returns the number of a code as it is sent to callers.
int resultNumber(ResultCode code);

// Returns the name of a code, for example "TicketInvalid".
std::string_view resultName(ResultCode code);

// Returns the HTTP status of a response with this code.
int httpStatus(ResultCode code);

// Returns "no", "unknown" or "yes".
std::string_view executedName(Executed executed);

}

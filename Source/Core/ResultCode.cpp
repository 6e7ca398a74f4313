#include "Core/ResultCode.h"

#include <array>

namespace Damaskgrade {

namespace {

struct ResultRow {
    ResultCode code;
    std::string_view name;
    int status;
};

constexpr std::array resultRows {
    ResultRow { ResultCode::Ok, "Ok", 200 },
    ResultRow { ResultCode::MalformedRequest, "MalformedRequest", 400 },
    ResultRow { ResultCode::RequestTooLarge, "RequestTooLarge", 413 },
    ResultRow { ResultCode::UnknownRoute, "UnknownRoute", 404 },
    ResultRow { ResultCode::MissingIdempotencyKey, "MissingIdempotencyKey", 400 },
    ResultRow { ResultCode::IdempotencyKeyReused, "IdempotencyKeyReused", 422 },
    ResultRow { ResultCode::UnknownCustomer, "UnknownCustomer", 403 },
    ResultRow { ResultCode::UnknownService, "UnknownService", 404 },
    ResultRow { ResultCode::UnknownModel, "UnknownModel", 404 },
    ResultRow { ResultCode::InvalidDeadline, "InvalidDeadline", 400 },
    ResultRow { ResultCode::DeadlineNotReachable, "DeadlineNotReachable", 503 },
    ResultRow { ResultCode::DeadlinePassed, "DeadlinePassed", 504 },
    ResultRow { ResultCode::CustomerLimitReached, "CustomerLimitReached", 429 },
    ResultRow { ResultCode::InstanceDraining, "InstanceDraining", 503 },
    ResultRow { ResultCode::NoBackendServer, "NoBackendServer", 503 },
    ResultRow { ResultCode::Overloaded, "Overloaded", 503 },
    ResultRow { ResultCode::RetryBudgetSpent, "RetryBudgetSpent", 503 },
    ResultRow { ResultCode::NotReady, "NotReady", 503 },
    ResultRow { ResultCode::PromptQuarantined, "PromptQuarantined", 503 },
    ResultRow { ResultCode::TicketInvalid, "TicketInvalid", 503 },
    ResultRow { ResultCode::ConfigurationOutdated, "ConfigurationOutdated", 503 },
    ResultRow { ResultCode::BackendServerRefused, "BackendServerRefused", 502 },
    ResultRow { ResultCode::OutcomeUnknown, "OutcomeUnknown", 502 },
    ResultRow { ResultCode::StreamInterrupted, "StreamInterrupted", 502 },
    ResultRow { ResultCode::StreamNotFound, "StreamNotFound", 404 },
    ResultRow { ResultCode::Cancelled, "Cancelled", 499 },
    ResultRow { ResultCode::BackendServerFailed, "BackendServerFailed", 502 },
    ResultRow { ResultCode::TableUnavailable, "TableUnavailable", 503 },
    ResultRow { ResultCode::TableConflict, "TableConflict", 409 },
    ResultRow { ResultCode::ObjectStoreUnavailable, "ObjectStoreUnavailable", 503 },
    ResultRow { ResultCode::InstanceListUnavailable, "InstanceListUnavailable", 503 },
    ResultRow { ResultCode::WeightStoreUnavailable, "WeightStoreUnavailable", 503 },
    ResultRow { ResultCode::ObjectNotFound, "ObjectNotFound", 404 },
    ResultRow { ResultCode::DocumentInvalid, "DocumentInvalid", 422 },
    ResultRow { ResultCode::VersionMismatch, "VersionMismatch", 412 },
    ResultRow { ResultCode::NotSectionOwner, "NotSectionOwner", 403 },
    ResultRow { ResultCode::UnknownSection, "UnknownSection", 404 },
    ResultRow { ResultCode::ChangeRefused, "ChangeRefused", 503 },
    ResultRow { ResultCode::ChangeUndecided, "ChangeUndecided", 202 },
    ResultRow { ResultCode::UnknownChange, "UnknownChange", 404 },
    ResultRow { ResultCode::ChangeInProgress, "ChangeInProgress", 409 },
    ResultRow { ResultCode::FencingTokenStale, "FencingTokenStale", 409 },
    ResultRow { ResultCode::FencingTokenUnknown, "FencingTokenUnknown", 503 },
    ResultRow { ResultCode::MapRefused, "MapRefused", 409 },
    ResultRow { ResultCode::LeaseLost, "LeaseLost", 409 },
    ResultRow { ResultCode::SettingsInvalid, "SettingsInvalid", 500 },
    ResultRow { ResultCode::BadFrame, "BadFrame", 400 },
    ResultRow { ResultCode::LinkClosed, "LinkClosed", 502 },
    ResultRow { ResultCode::Timeout, "Timeout", 504 },
    ResultRow { ResultCode::ConnectionFailed, "ConnectionFailed", 502 },
    ResultRow { ResultCode::Internal, "Internal", 500 },
};

const ResultRow& findRow(ResultCode code)
{
    for (const ResultRow& row : resultRows) {
        if (row.code == code)
            return row;
    }
    return resultRows.back();
}

}

int resultNumber(ResultCode code)
{
    return static_cast<int>(code);
}

std::string_view resultName(ResultCode code)
{
    return findRow(code).name;
}

int httpStatus(ResultCode code)
{
    return findRow(code).status;
}

std::string_view executedName(Executed executed)
{
    switch (executed) {
    case Executed::No:
        return "no";
    case Executed::Unknown:
        return "unknown";
    case Executed::Yes:
        return "yes";
    }
    return "unknown";
}

}

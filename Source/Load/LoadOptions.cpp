#include "Load/LoadOptions.h"

#include "Core/Error.h"

namespace Damaskgrade {

namespace {

void require(bool isValid, const std::string& message)
{
    if (!isValid)
        throw Error(ResultCode::SettingsInvalid, message);
}

}

void checkLoadOptions(const LoadOptions& options)
{
    double weights = 0;
    for (const LoadCustomer& customer : options.customers) {
        require(customer.weight >= 0, "the weight of customer " + customer.name + " must not be negative");
        weights += customer.weight;
    }
    bool hasServiceCalls = options.lookups > 0 || options.bookings > 0;
    require(!options.entries.empty(), "at least one entry address is needed");
    require(options.callsPerSecond > 0, "the calls per second must be above 0");
    require(options.duration.count() > 0, "the duration must be above 0 ms");
    require(options.completions >= 0 && options.lookups >= 0 && options.bookings >= 0, "shares must not be negative");
    require(options.completions + options.lookups + options.bookings > 0, "at least one kind of call needs a share above 0");
    require(weights > 0, "at least one customer needs a weight above 0");
    require(options.minTokens <= options.maxTokens, "the minimum number of tokens must not exceed the maximum");
    require(options.topics > 0, "at least one topic is needed");
    require(options.driftPeriod.count() > 0, "the drift period must be above 0 ms");
    require(options.maxAttempts > 0, "the maximum number of attempts must be above 0");
    require(options.completions <= 0 || !options.model.empty(), "completions need a model");
    require(!hasServiceCalls || !options.service.empty(), "lookups and bookings need a service");
}

std::string_view loadKindName(LoadKind kind)
{
    switch (kind) {
    case LoadKind::Completion:
        return "completion";
    case LoadKind::Lookup:
        return "lookup";
    case LoadKind::Booking:
        return "booking";
    }
    return "unknown";
}

}

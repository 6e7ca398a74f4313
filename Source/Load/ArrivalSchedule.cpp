#include "Load/ArrivalSchedule.h"

#include <cmath>

namespace Damaskgrade {

ArrivalSchedule::ArrivalSchedule(const LoadOptions& options)
    : options_(options)
    , random_(options.seed)
{
}

std::optional<Arrival> ArrivalSchedule::next()
{
    double gapSeconds = -std::log(1 - random_.fraction()) / options_.callsPerSecond;
    offset_ += std::chrono::microseconds(std::llround(gapSeconds * 1e6));
    if (offset_ >= options_.duration || count_ >= options_.maxCalls)
        return std::nullopt;
    Arrival arrival;
    arrival.offset = offset_;
    arrival.number = count_++;
    arrival.kind = drawKind();
    arrival.customer = drawCustomer();
    arrival.prompt = drawPrompt(arrival.number);
    arrival.tokens = options_.minTokens + random_.index(options_.maxTokens - options_.minTokens + 1);
    return arrival;
}

LoadKind ArrivalSchedule::drawKind()
{
    double draw = random_.fraction() * (options_.completions + options_.lookups + options_.bookings);
    if (draw < options_.completions)
        return LoadKind::Completion;
    return draw < options_.completions + options_.lookups ? LoadKind::Lookup : LoadKind::Booking;
}

const std::string& ArrivalSchedule::drawCustomer()
{
    double sum = 0;
    for (const LoadCustomer& customer : options_.customers)
        sum += customer.weight;
    double draw = random_.fraction() * sum;
    for (const LoadCustomer& customer : options_.customers) {
        draw -= customer.weight;
        if (draw < 0)
            return customer.name;
    }
    return options_.customers.back().name;
}

std::string ArrivalSchedule::drawPrompt(std::uint64_t number)
{
    // Each topic is half as likely as the one before it. The most likely topic shifts by one each drift period.
    std::size_t rank = static_cast<std::size_t>(-std::log2(1 - random_.fraction()));
    std::size_t shift = static_cast<std::size_t>(offset_ / options_.driftPeriod);
    std::string topic = "topic " + std::to_string((rank + shift) % options_.topics) + " ";
    std::string prompt;
    while (prompt.size() < options_.topicBytes)
        prompt += topic;
    return prompt + "call " + std::to_string(number);
}

}

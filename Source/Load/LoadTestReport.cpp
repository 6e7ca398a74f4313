#include "Load/LoadTestReport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <tuple>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

// Limits the memory of a long run. Above this number, a uniform random sample is kept (reservoir sampling).
constexpr std::size_t maxTokenGaps = 2000000;

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

double milliseconds(std::chrono::microseconds time)
{
    return static_cast<double>(time.count()) / 1000;
}

Json percentilesToJson(const Percentiles& values)
{
    return {
        { "count", values.count },
        { "p50_ms", milliseconds(values.p50) },
        { "p95_ms", milliseconds(values.p95) },
        { "p99_ms", milliseconds(values.p99) },
    };
}

std::string formatPercentiles(const std::string& name, const Percentiles& values)
{
    std::ostringstream line;
    line << std::fixed << std::setprecision(1) << std::left << std::setw(22) << name
         << "p50 " << milliseconds(values.p50) << " ms, p95 " << milliseconds(values.p95)
         << " ms, p99 " << milliseconds(values.p99) << " ms (" << values.count << " samples)\n";
    return line.str();
}

}

bool LoadTestReport::OutcomeOrder::operator()(const Outcome& left, const Outcome& right) const
{
    return std::tie(left.kind, left.code, left.executed) < std::tie(right.kind, right.code, right.executed);
}

void LoadTestReport::add(const LoadResult& result)
{
    ++calls_;
    onTime_ += result.isOnTime ? 1 : 0;
    silentEnds_ += result.endedSilently ? 1 : 0;
    wrongAnswers_ += result.isWrong ? 1 : 0;
    retries_ += result.retries;
    ++outcomes_[{ result.kind, result.code, result.executed }];
    CustomerCount& customer = customers_[result.customer];
    ++customer.calls;
    customer.onTime += result.isOnTime ? 1 : 0;
    if (result.code != ResultCode::Ok)
        return;
    totals_.push_back(result.total);
    if (result.firstToken.count() > 0)
        firstTokens_.push_back(result.firstToken);
    for (std::chrono::microseconds gap : result.tokenGaps)
        addTokenGap(gap);
}

std::uint64_t LoadTestReport::outcomes(ResultCode code, Executed executed) const
{
    std::uint64_t sum = 0;
    for (const auto& [outcome, count] : outcomes_)
        sum += outcome.code == code && outcome.executed == executed ? count : 0;
    return sum;
}

double LoadTestReport::fairness() const
{
    double sum = 0;
    double squares = 0;
    for (const auto& [name, customer] : customers_) {
        double onTimeShare = share(customer.onTime, customer.calls);
        sum += onTimeShare;
        squares += onTimeShare * onTimeShare;
    }
    return squares > 0 ? sum * sum / (static_cast<double>(customers_.size()) * squares) : 1;
}

std::string LoadTestReport::formatText() const
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3);
    text << "calls " << calls_ << ", on time " << share(onTime_, calls_) << ", fairness " << fairness() << ", repeated sends " << retries_ << "\n";
    text << "wrong answers " << wrongAnswers_ << ", silent ends " << silentEnds_ << "\n";
    for (const auto& [outcome, count] : outcomes_) {
        text << loadKindName(outcome.kind) << " " << resultNumber(outcome.code) << " " << resultName(outcome.code)
             << " executed=" << executedName(outcome.executed) << ": " << count << "\n";
    }
    text << formatPercentiles("time to first token", firstToken());
    text << formatPercentiles("time between tokens", tokenGap());
    text << formatPercentiles("total", total());
    for (const auto& [name, customer] : customers_)
        text << "customer " << name << ": " << customer.calls << " calls, on time " << share(customer.onTime, customer.calls) << "\n";
    return text.str();
}

std::string LoadTestReport::formatJson() const
{
    Json outcomes = Json::array();
    for (const auto& [outcome, count] : outcomes_) {
        outcomes.push_back({
            { "kind", loadKindName(outcome.kind) },
            { "code", resultNumber(outcome.code) },
            { "name", resultName(outcome.code) },
            { "executed", executedName(outcome.executed) },
            { "count", count },
        });
    }
    Json customers = Json::object();
    for (const auto& [name, customer] : customers_)
        customers[name] = { { "calls", customer.calls }, { "on_time", customer.onTime } };
    Json document {
        { "calls", calls_ },
        { "on_time", onTime_ },
        { "fairness", fairness() },
        { "repeated_sends", retries_ },
        { "wrong_answers", wrongAnswers_ },
        { "silent_ends", silentEnds_ },
        { "outcomes", outcomes },
        { "customers", customers },
        { "time_to_first_token", percentilesToJson(firstToken()) },
        { "time_between_tokens", percentilesToJson(tokenGap()) },
        { "total", percentilesToJson(total()) },
    };
    return document.dump(2);
}

Percentiles LoadTestReport::percentiles(const Samples& samples)
{
    if (samples.empty())
        return {};
    Samples sorted = samples;
    std::sort(sorted.begin(), sorted.end());
    // Nearest-rank method: the smallest sample such that at least this percentage of all samples does not exceed it.
    auto at = [&sorted](std::size_t percent) { return sorted[(sorted.size() * percent + 99) / 100 - 1]; };
    return { sorted.size(), at(50), at(95), at(99) };
}

void LoadTestReport::addTokenGap(std::chrono::microseconds gap)
{
    ++tokenGapCount_;
    if (tokenGaps_.size() < maxTokenGaps) {
        tokenGaps_.push_back(gap);
        return;
    }
    std::size_t index = random_.index(tokenGapCount_);
    if (index < maxTokenGaps)
        tokenGaps_[index] = gap;
}

}

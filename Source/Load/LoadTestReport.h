#pragma once

#include "Core/Random.h"
#include "Load/LoadOptions.h"

#include <map>

namespace Damaskgrade {

struct Percentiles {
    std::size_t count { 0 };
    std::chrono::microseconds p50 { 0 };
    std::chrono::microseconds p95 { 0 };
    std::chrono::microseconds p99 { 0 };
};

// Aggregates the results of a load test run.
class LoadTestReport {
public:
    void add(const LoadResult& result);

    std::uint64_t calls() const { return calls_; }
    std::uint64_t onTime() const { return onTime_; }
    std::uint64_t silentEnds() const { return silentEnds_; }
    std::uint64_t wrongAnswers() const { return wrongAnswers_; }

    // Returns the number of calls with this outcome.
    std::uint64_t outcomes(ResultCode code, Executed executed) const;

    // Percentiles over successful calls.
    Percentiles firstToken() const { return percentiles(firstTokens_); }
    Percentiles tokenGap() const { return percentiles(tokenGaps_); }
    Percentiles total() const { return percentiles(totals_); }

    // Returns Jain's fairness index of the customers' on-time shares: 1 if all are equal, 1/n if only one of n is above 0.
    double fairness() const;

    // Returns whether a guarantee was violated: a response was wrong or a stream ended silently.
    bool hasViolations() const { return silentEnds_ > 0 || wrongAnswers_ > 0; }

    std::string formatText() const;
    std::string formatJson() const;

private:
    struct Outcome {
        LoadKind kind;
        ResultCode code;
        Executed executed;
    };
    struct OutcomeOrder {
        bool operator()(const Outcome& left, const Outcome& right) const;
    };
    struct CustomerCount {
        std::uint64_t calls { 0 };
        std::uint64_t onTime { 0 };
    };
    using Samples = std::vector<std::chrono::microseconds>;

    static Percentiles percentiles(const Samples& samples);
    void addTokenGap(std::chrono::microseconds gap);

    std::uint64_t calls_ { 0 };
    std::uint64_t onTime_ { 0 };
    std::uint64_t silentEnds_ { 0 };
    std::uint64_t wrongAnswers_ { 0 };
    std::uint64_t retries_ { 0 };
    std::map<Outcome, std::uint64_t, OutcomeOrder> outcomes_;
    std::map<std::string, CustomerCount> customers_;
    Samples firstTokens_;
    Samples tokenGaps_;
    std::uint64_t tokenGapCount_ { 0 };
    Samples totals_;
    Random random_ { 1 };
};

}

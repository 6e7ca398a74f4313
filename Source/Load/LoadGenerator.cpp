#include "Load/LoadGenerator.h"

#include <utility>

namespace Damaskgrade {

namespace {

// Added to the deadline, so that a response that is slightly late is received and counts as late, not as lost.
constexpr std::chrono::milliseconds timeoutMargin { 5000 };

LoadOptions validated(const LoadOptions& options)
{
    checkLoadOptions(options);
    return options;
}

}

LoadGenerator::LoadGenerator(EventLoop& loop, const Clock& clock, const LoadOptions& options)
    : loop_(loop)
    , clock_(clock)
    , options_(validated(options))
    , client_(loop, options.deadline + timeoutMargin)
    , schedule_(options_)
    , random_(options.seed + 1)
    , runId_(Random(systemSeed()).identifier())
{
}

void LoadGenerator::start(Done done)
{
    done_ = std::move(done);
    start_ = clock_.now();
    next_ = schedule_.next();
    startDueCalls();
}

void LoadGenerator::startDueCalls()
{
    while (next_ && start_ + next_->offset <= clock_.now()) {
        if (calls_.size() < options_.maxInFlight)
            startCall(*next_);
        else
            rejectCall(*next_);
        next_ = schedule_.next();
    }
    if (next_)
        scheduleNext();
    else
        startDraining();
}

void LoadGenerator::scheduleNext()
{
    Duration wait = start_ + next_->offset - clock_.now();
    timer_ = loop_.after(std::chrono::ceil<std::chrono::milliseconds>(wait), [this] { startDueCalls(); });
}

void LoadGenerator::startCall(const Arrival& arrival)
{
    std::uint64_t number = arrival.number;
    std::string callId = runId_ + "-" + std::to_string(number);
    std::size_t entry = random_.index(options_.entries.size());
    auto call = std::make_unique<LoadCall>(client_, clock_, options_, arrival, start_ + arrival.offset, callId, entry,
        [this, number](const LoadResult& result) { finishCall(number, result); });
    LoadCall& started = *call;
    calls_[number] = std::move(call);
    started.send();
}

void LoadGenerator::finishCall(std::uint64_t number, const LoadResult& result)
{
    record(result);
    // The call is still executing this callback, so the event loop destroys it later.
    auto call = calls_.find(number);
    std::shared_ptr<LoadCall> ended = std::move(call->second);
    calls_.erase(call);
    loop_.post([ended] {});
    endIfDone();
}

// Records the call as Overloaded. Skipping it without a record would hide the overload, and queueing it would
// turn the open-loop load into a closed-loop one.
void LoadGenerator::rejectCall(const Arrival& arrival)
{
    LoadResult result;
    result.kind = arrival.kind;
    result.customer = arrival.customer;
    result.code = ResultCode::Overloaded;
    result.executed = Executed::No;
    record(result);
}

void LoadGenerator::record(const LoadResult& result)
{
    report_.add(result);
    if (options_.onResult)
        options_.onResult(result);
}

void LoadGenerator::startDraining()
{
    timer_.reset();
    drainTimer_ = loop_.after(options_.drainLimit, [this] { endDraining(); });
    endIfDone();
}

void LoadGenerator::endDraining()
{
    while (!calls_.empty())
        calls_.begin()->second->endWithTimeout();
    endIfDone();
}

void LoadGenerator::endIfDone()
{
    if (next_ || !drainTimer_ || !calls_.empty() || !done_)
        return;
    Done done = std::move(done_);
    done_ = nullptr;
    loop_.post([this, done] { done(report_); });
}

}

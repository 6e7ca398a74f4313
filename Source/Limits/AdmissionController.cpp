#include "Limits/AdmissionController.h"

#include <algorithm>
#include <limits>

namespace Damaskgrade {

namespace {

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    // Avoids an overflow. No deadline allows a wait of more than an hour.
    constexpr double maximumSeconds = 3600;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(value, maximumSeconds)));
}

}

AdmissionController::AdmissionController(const Clock& clock, AdmissionSettings settings, CustomerShares shares)
    : clock_(clock)
    , settings_(settings)
    , shares_(std::move(shares))
    , serviceTime_(settings.assumedServiceTime)
{
}

void AdmissionController::setWeights(const std::map<std::string, double>& weights)
{
    shares_.setWeights(weights);
}

void AdmissionController::setFreeTickets(std::size_t count)
{
    freeTickets_ = count;
}

AdmissionDecision AdmissionController::submit(const AdmissionRequest& request)
{
    if (request.deadline <= clock_.now())
        return refuse(request.callId, ResultCode::DeadlinePassed);
    std::string account = shares_.account(request.customer);
    if (freeTickets_ > 0 && queuedCount_ == 0) {
        // With no call in flight, the estimate may be outdated, and only a call can update it.
        if (!inFlight_.empty() && !canMeetDeadline(request, Duration::zero()))
            return refuse(request.callId, ResultCode::DeadlineNotReachable);
        return start(request, account);
    }
    return enqueue(request, account);
}

std::vector<AdmissionDecision> AdmissionController::advance()
{
    std::vector<AdmissionDecision> decisions;
    decisions.swap(evicted_);
    refuseUnreachable(decisions);
    while (freeTickets_ > 0 && queuedCount_ > 0) {
        std::string account = nextAccount();
        AccountQueue::iterator first = queues_.at(account).begin();
        AdmissionRequest request = first->second.request;
        removeQueued(account, first->first);
        decisions.push_back(start(request, account));
    }
    return decisions;
}

void AdmissionController::finished(std::string_view callId)
{
    std::unordered_map<std::string, StartedCall>::iterator call = inFlight_.find(std::string(callId));
    if (call == inFlight_.end())
        return;
    Duration used = clock_.now() - call->second.startedAt;
    serviceTime_.observe(used, call->second.size);
    shares_.correct(call->second.account, toSeconds(used) - call->second.cost);
    inFlight_.erase(call);
}

void AdmissionController::abandoned(std::string_view callId)
{
    std::unordered_map<std::string, QueuePosition>::iterator position = queuePositions_.find(std::string(callId));
    if (position != queuePositions_.end()) {
        QueuePosition found = position->second;
        removeQueued(found.account, found.key);
        return;
    }
    std::unordered_map<std::string, StartedCall>::iterator call = inFlight_.find(std::string(callId));
    if (call == inFlight_.end())
        return;
    Duration used = clock_.now() - call->second.startedAt;
    shares_.correct(call->second.account, toSeconds(used) - call->second.cost);
    inFlight_.erase(call);
}

Duration AdmissionController::expectedWait(std::string_view customer) const
{
    if (freeTickets_ > 0 && queuedCount_ == 0)
        return Duration::zero();
    std::string account = shares_.account(customer);
    std::map<std::string, AccountQueue>::const_iterator queue = queues_.find(account);
    return estimateWait(account, queue == queues_.end() ? 0 : queue->second.size());
}

AdmissionDecision AdmissionController::refuse(const std::string& callId, ResultCode code) const
{
    AdmissionDecision decision;
    decision.callId = callId;
    decision.action = AdmissionAction::Refuse;
    decision.code = code;
    return decision;
}

AdmissionDecision AdmissionController::start(const AdmissionRequest& request, const std::string& account)
{
    --freeTickets_;
    double cost = toSeconds(serviceTime_.mean(request.size));
    shares_.charge(account, cost);
    inFlight_[request.callId] = { account, clock_.now(), request.size, cost };
    AdmissionDecision decision;
    decision.callId = request.callId;
    decision.action = AdmissionAction::Start;
    return decision;
}

AdmissionDecision AdmissionController::enqueue(const AdmissionRequest& request, const std::string& account)
{
    AccountQueue& queue = queues_[account];
    QueueKey key { -std::int64_t { request.priority }, ++arrivals_ };
    std::size_t ahead = static_cast<std::size_t>(std::distance(queue.begin(), queue.lower_bound(key)));
    Duration wait = estimateWait(account, ahead);
    ResultCode refusal = ResultCode::Ok;
    if (!canMeetDeadline(request, wait))
        refusal = ResultCode::DeadlineNotReachable;
    else if (queue.size() >= settings_.maximumQueuedPerCustomer)
        refusal = ResultCode::CustomerLimitReached;
    else if (queuedCount_ >= settings_.maximumQueued && !evictQueuedCall(account))
        refusal = ResultCode::Overloaded;
    if (refusal != ResultCode::Ok) {
        if (queue.empty())
            queues_.erase(account);
        return refuse(request.callId, refusal);
    }
    queue.emplace(key, QueuedCall { request });
    queuePositions_[request.callId] = { account, key };
    ++queuedCount_;
    AdmissionDecision decision;
    decision.callId = request.callId;
    decision.action = AdmissionAction::Queue;
    decision.expectedWait = wait;
    return decision;
}

Duration AdmissionController::expectedService(double size) const
{
    Duration margin = std::chrono::duration_cast<Duration>(serviceTime_.deviation(size) * settings_.deviationMargin);
    return serviceTime_.mean(size) + margin;
}

Duration AdmissionController::estimateWait(const std::string& account, std::size_t accountAhead) const
{
    std::size_t capacity = freeTickets_ + inFlight_.size();
    if (capacity == 0)
        return settings_.assumedRecovery;
    double secondsPerStart = toSeconds(serviceTime_.mean(1)) / static_cast<double>(capacity);
    double waitingWeight = 0;
    for (const auto& [name, queue] : queues_) {
        if (!queue.empty() && name != account)
            waitingWeight += shares_.weight(name);
    }
    double accountWeight = shares_.weight(account);
    double byShare = static_cast<double>(accountAhead + 1) * (accountWeight + waitingWeight) / accountWeight;
    // At most all queued calls start before the call. This bound applies if other customers queue fewer calls than their
    // share.
    double byQueue = static_cast<double>(queuedCount_ + 1);
    return fromSeconds(secondsPerStart * std::min(byShare, byQueue));
}

bool AdmissionController::canMeetDeadline(const AdmissionRequest& request, Duration wait) const
{
    return clock_.now() + wait + expectedService(request.size) <= request.deadline;
}

// Makes room for a call of the account: refuses the last queued call of the account with the most queued calls per
// weight, so that a burst of one customer does not fill the queue for the others. Returns false if this is the account
// itself, or has no more calls per weight than the account would have with the new call.
bool AdmissionController::evictQueuedCall(const std::string& account)
{
    std::string maxAccount;
    double maxPerWeight = 0;
    for (const auto& [name, queue] : queues_) {
        double perWeight = queuedPerWeight(name, queue.size());
        if (perWeight > maxPerWeight) {
            maxPerWeight = perWeight;
            maxAccount = name;
        }
    }
    double accountPerWeight = queuedPerWeight(account, queues_[account].size() + 1);
    if (maxAccount == account || maxPerWeight <= accountPerWeight)
        return false;
    AccountQueue::iterator last = std::prev(queues_.at(maxAccount).end());
    evicted_.push_back(refuse(last->second.request.callId, ResultCode::CustomerLimitReached));
    removeQueued(maxAccount, last->first);
    return true;
}

void AdmissionController::refuseUnreachable(std::vector<AdmissionDecision>& decisions)
{
    std::vector<std::pair<std::string, QueueKey>> unreachable;
    for (const auto& [account, queue] : queues_) {
        for (const auto& [key, call] : queue) {
            if (!canMeetDeadline(call.request, Duration::zero()))
                unreachable.emplace_back(account, key);
        }
    }
    for (const auto& [account, key] : unreachable) {
        const AdmissionRequest& request = queues_.at(account).at(key).request;
        bool isPassed = request.deadline <= clock_.now();
        decisions.push_back(refuse(request.callId, isPassed ? ResultCode::DeadlinePassed : ResultCode::DeadlineNotReachable));
        removeQueued(account, key);
    }
}

std::string AdmissionController::nextAccount() const
{
    std::string best;
    double bestTag = std::numeric_limits<double>::infinity();
    std::uint64_t bestArrival = 0;
    for (const auto& [account, queue] : queues_) {
        double tag = shares_.startTag(account);
        std::uint64_t arrival = queue.begin()->first.second;
        if (tag < bestTag || (tag == bestTag && arrival < bestArrival)) {
            best = account;
            bestTag = tag;
            bestArrival = arrival;
        }
    }
    return best;
}

void AdmissionController::removeQueued(const std::string& account, QueueKey key)
{
    AccountQueue& queue = queues_.at(account);
    queuePositions_.erase(queue.at(key).request.callId);
    queue.erase(key);
    --queuedCount_;
    if (queue.empty())
        queues_.erase(account);
}

double AdmissionController::queuedPerWeight(const std::string& account, std::size_t count) const
{
    return static_cast<double>(count) / shares_.weight(account);
}

}

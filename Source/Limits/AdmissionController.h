#pragma once

#include "Core/Clock.h"
#include "Core/ResultCode.h"
#include "Limits/CustomerShares.h"
#include "Limits/ServiceTimeEstimate.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Damaskgrade {

struct AdmissionSettings {
    std::size_t maximumQueued { 512 };
    std::size_t maximumQueuedPerCustomer { 128 };
    // Assumed until the first call ended.
    Duration assumedServiceTime { std::chrono::seconds(2) };
    // Assumed wait while the entry holds no ticket and has no call in flight, for example while links are
    // opened again. Calls with a later deadline are queued instead of refused.
    Duration assumedRecovery { std::chrono::seconds(1) };
    // How many deviations are added to the mean service time before it is compared with the deadline.
    double deviationMargin { 2 };
};

struct AdmissionRequest {
    std::string callId;
    std::string customer;
    // A higher priority goes first among calls of the same customer; it gives no larger share.
    std::int32_t priority { 0 };
    TimePoint deadline;
    // Expected work relative to the usual call, for example by its number of tokens.
    double size { 1 };
};

enum class AdmissionAction {
    Start,
    Queue,
    Refuse,
};

// A refused call was not executed (Executed::No).
struct AdmissionDecision {
    std::string callId;
    AdmissionAction action { AdmissionAction::Refuse };
    // For Refuse: DeadlineNotReachable, DeadlinePassed, CustomerLimitReached or Overloaded.
    ResultCode code { ResultCode::Ok };
    Duration expectedWait { 0 };
};

// Admits the calls of one model or service at one entry. The capacity of the entry is the tickets that
// it holds and its calls in flight; no other entry is asked. Refuses a call as soon as its deadline
// cannot be met, queues within bounds, and starts queued calls by customer share.
class AdmissionController {
public:
    AdmissionController(const Clock& clock, AdmissionSettings settings, CustomerShares shares);

    void setWeights(const std::map<std::string, double>& weights);
    // Sets how many unspent tickets the entry holds now. Call advance() afterwards.
    void setFreeTickets(std::size_t count);

    // Decides on a new call. For Start, the call takes one free ticket.
    AdmissionDecision submit(const AdmissionRequest& request);
    // Returns calls to refuse and calls to start. Call after each event and at least every 50 ms.
    std::vector<AdmissionDecision> advance();

    // A started call ended; its time is taken into the estimate.
    void finished(std::string_view callId);
    // A queued call was cancelled, or a started call failed or was not sent; its time says nothing.
    void abandoned(std::string_view callId);

    std::size_t queued() const { return queuedCount_; }
    std::size_t inFlight() const { return inFlight_.size(); }
    std::size_t freeTickets() const { return freeTickets_; }
    // Returns the time until a new call of the customer would start.
    Duration expectedWait(std::string_view customer) const;

private:
    // Negative priority and arrival number: the first key is served first.
    using QueueKey = std::pair<std::int64_t, std::uint64_t>;

    struct QueuedCall {
        AdmissionRequest request;
    };
    using AccountQueue = std::map<QueueKey, QueuedCall>;

    struct QueuePosition {
        std::string account;
        QueueKey key;
    };

    struct StartedCall {
        std::string account;
        TimePoint startedAt;
        double size { 1 };
        // Seconds charged to the account.
        double cost { 0 };
    };

    AdmissionDecision refuse(const std::string& callId, ResultCode code) const;
    AdmissionDecision start(const AdmissionRequest& request, const std::string& account);
    AdmissionDecision enqueue(const AdmissionRequest& request, const std::string& account);
    Duration expectedService(double size) const;
    Duration estimateWait(const std::string& account, std::size_t accountAhead) const;
    bool canMeetDeadline(const AdmissionRequest& request, Duration wait) const;
    bool evictQueuedCall(const std::string& account);
    void refuseUnreachable(std::vector<AdmissionDecision>& decisions);
    std::string nextAccount() const;
    void removeQueued(const std::string& account, QueueKey key);
    double queuedPerWeight(const std::string& account, std::size_t count) const;

    const Clock& clock_;
    AdmissionSettings settings_;
    CustomerShares shares_;
    ServiceTimeEstimate serviceTime_;
    std::size_t freeTickets_ { 0 };
    std::size_t queuedCount_ { 0 };
    std::uint64_t arrivals_ { 0 };
    std::map<std::string, AccountQueue> queues_;
    std::unordered_map<std::string, QueuePosition> queuePositions_;
    std::unordered_map<std::string, StartedCall> inFlight_;
    std::vector<AdmissionDecision> evicted_;
};

}

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
    // Service time that is assumed until the first call has finished.
    Duration assumedServiceTime { std::chrono::seconds(2) };
    // Wait that is assumed while the entry has no tickets and no calls in flight, for example while links are
    // reconnected. Calls that can meet their deadline after this wait are queued instead of refused.
    Duration assumedRecovery { std::chrono::seconds(1) };
    // Number of mean absolute deviations that are added to the mean service time before it is compared with the deadline.
    double deviationMargin { 2 };
};

struct AdmissionRequest {
    std::string callId;
    std::string customer;
    // Among calls of the same customer, higher values are served first. Does not change the customer's share.
    std::int32_t priority { 0 };
    TimePoint deadline;
    // Expected work relative to an average call, for example by its number of tokens.
    double size { 1 };
};

enum class AdmissionAction {
    Start,
    Queue,
    Refuse,
};

// A call that is refused was not executed (Executed::No).
struct AdmissionDecision {
    std::string callId;
    AdmissionAction action { AdmissionAction::Refuse };
    // For Refuse: DeadlineNotReachable, DeadlinePassed, CustomerLimitReached or Overloaded.
    ResultCode code { ResultCode::Ok };
    // For Queue only: the estimated time until the call starts.
    Duration expectedWait { 0 };
};

// Admits the calls of one model or service at one entry. A call here is what Forwarding names a request. The capacity
// of the entry is the sum of its tickets and its calls in flight; no communication with other entries is needed.
// Refuses calls as soon as they cannot meet their deadline, limits the length of the queue, and starts queued calls by
// customer share.
class AdmissionController {
public:
    AdmissionController(const Clock& clock, AdmissionSettings settings, CustomerShares shares);

    void setWeights(const std::map<std::string, double>& weights);
    // Sets the number of unspent tickets that the entry holds. Call advance() afterwards.
    void setFreeTickets(std::size_t count);

    // Decides whether a new call is started, queued or refused. Start consumes one free ticket.
    AdmissionDecision submit(const AdmissionRequest& request);
    // Returns the queued calls to refuse and to start. Call after each event and at least every 50 ms.
    std::vector<AdmissionDecision> advance();

    // Records that a started call has finished. Its service time updates the estimate.
    void finished(std::string_view callId);
    // Records that a queued call was cancelled, or that a started call failed or was not sent. Does not update the
    // estimate of the service time.
    void abandoned(std::string_view callId);

    std::size_t queued() const { return queuedCount_; }
    std::size_t inFlight() const { return inFlight_.size(); }
    std::size_t freeTickets() const { return freeTickets_; }
    // Returns the estimated time until a new call of the customer would start.
    Duration expectedWait(std::string_view customer) const;

private:
    // Negated priority and arrival number; the lowest key is served first.
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
        // Cost that was charged to the account, in seconds.
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

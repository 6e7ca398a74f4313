#pragma once

#include "Limits/AdmissionController.h"

#include <deque>

namespace Damaskgrade {

// Interface for the admission controller and the baselines that it is compared with.
class Limiter {
public:
    virtual ~Limiter() = default;
    virtual void setFreeTickets(std::size_t count) = 0;
    virtual AdmissionDecision submit(const AdmissionRequest& request) = 0;
    virtual std::vector<AdmissionDecision> advance() = 0;
    virtual void finished(const std::string& callId) = 0;
    virtual void abandoned(const std::string& callId) = 0;
    virtual std::size_t freeTickets() const = 0;
};

// Uses the AdmissionController of the product.
class ControllerLimiter : public Limiter {
public:
    ControllerLimiter(const Clock& clock, const std::map<std::string, double>& weights);
    void setFreeTickets(std::size_t count) override { controller_.setFreeTickets(count); }
    AdmissionDecision submit(const AdmissionRequest& request) override { return controller_.submit(request); }
    std::vector<AdmissionDecision> advance() override { return controller_.advance(); }
    void finished(const std::string& callId) override { controller_.finished(callId); }
    void abandoned(const std::string& callId) override { controller_.abandoned(callId); }
    std::size_t freeTickets() const override { return controller_.freeTickets(); }

private:
    AdmissionController controller_;
};

// Baseline: one FIFO queue of limited length. Refuses calls if the queue is full, and queued calls whose deadline has
// passed.
class FifoLimiter : public Limiter {
public:
    FifoLimiter(const Clock& clock, std::size_t maximumQueued);
    void setFreeTickets(std::size_t count) override { freeTickets_ = count; }
    AdmissionDecision submit(const AdmissionRequest& request) override;
    std::vector<AdmissionDecision> advance() override;
    void finished(const std::string&) override { }
    void abandoned(const std::string&) override { }
    std::size_t freeTickets() const override { return freeTickets_; }

private:
    const Clock& clock_;
    std::size_t maximumQueued_;
    std::size_t freeTickets_ { 0 };
    std::deque<AdmissionRequest> queue_;
};

}

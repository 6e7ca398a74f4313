#include "Limiter.h"

namespace Damaskgrade {

namespace {

AdmissionDecision makeDecision(const std::string& callId, AdmissionAction action, ResultCode code)
{
    AdmissionDecision result;
    result.callId = callId;
    result.action = action;
    result.code = code;
    return result;
}

CustomerShares makeShares(const std::map<std::string, double>& weights)
{
    CustomerShares shares(1);
    shares.setWeights(weights);
    return shares;
}

}

ControllerLimiter::ControllerLimiter(const Clock& clock, const std::map<std::string, double>& weights)
    : controller_(clock, AdmissionSettings(), makeShares(weights))
{
}

FifoLimiter::FifoLimiter(const Clock& clock, std::size_t maximumQueued)
    : clock_(clock)
    , maximumQueued_(maximumQueued)
{
}

AdmissionDecision FifoLimiter::submit(const AdmissionRequest& request)
{
    if (queue_.empty() && freeTickets_ > 0) {
        --freeTickets_;
        return makeDecision(request.callId, AdmissionAction::Start, ResultCode::Ok);
    }
    if (queue_.size() >= maximumQueued_)
        return makeDecision(request.callId, AdmissionAction::Refuse, ResultCode::Overloaded);
    queue_.push_back(request);
    return makeDecision(request.callId, AdmissionAction::Queue, ResultCode::Ok);
}

std::vector<AdmissionDecision> FifoLimiter::advance()
{
    std::vector<AdmissionDecision> decisions;
    while (!queue_.empty()) {
        AdmissionRequest request = queue_.front();
        bool isExpired = request.deadline <= clock_.now();
        if (!isExpired && freeTickets_ == 0)
            break;
        queue_.pop_front();
        if (isExpired) {
            decisions.push_back(makeDecision(request.callId, AdmissionAction::Refuse, ResultCode::DeadlinePassed));
            continue;
        }
        --freeTickets_;
        decisions.push_back(makeDecision(request.callId, AdmissionAction::Start, ResultCode::Ok));
    }
    return decisions;
}

}

#include "LimitsSimulation.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds tick(5);
constexpr seconds measurementWindow(20);
// Longer than the sum of the deadline and the longest call, so that each counted call ends.
constexpr seconds timeAfterWindow(10);
constexpr seconds deadline(4);
constexpr std::size_t fifoQueueLimit = 16;

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

LimitsSimulation::LimitsSimulation(const LimitScenario& scenario, LimitPolicy policy, std::uint64_t seed, LimitResult& result)
    : scenario_(scenario)
    , result_(result)
    , startTime_(clock_.now())
    , random_(seed)
{
    result_.customers.resize(scenario_.customers.size());
    for (std::size_t entry = 0; entry < scenario_.entries; ++entry) {
        limiters_.push_back(makeLimiter(policy));
        slots_.push_back(scenario_.slots / scenario_.entries);
        startedCalls_.push_back(0);
    }
}

void LimitsSimulation::run()
{
    Duration runTime = scenario_.warmUp + measurementWindow + timeAfterWindow;
    for (Duration elapsed { 0 }; elapsed < runTime; elapsed += tick) {
        clock_.advance(tick);
        applyCapacityLoss();
        endCalls();
        for (std::size_t entry = 0; entry < scenario_.entries; ++entry) {
            std::size_t slots = slots_[entry];
            limiters_[entry]->setFreeTickets(slots - std::min(slots, startedCalls_[entry]));
            for (const AdmissionDecision& decision : limiters_[entry]->advance())
                apply(decision);
        }
        generateArrivals();
    }
}

std::unique_ptr<Limiter> LimitsSimulation::makeLimiter(LimitPolicy policy) const
{
    constexpr std::size_t unbounded = 1000000;
    if (policy == LimitPolicy::Fifo)
        return std::make_unique<FifoLimiter>(clock_, unbounded);
    if (policy == LimitPolicy::BoundedFifo)
        return std::make_unique<FifoLimiter>(clock_, fifoQueueLimit);
    std::map<std::string, double> weights;
    for (const CustomerLoad& customer : scenario_.customers)
        weights[customer.name] = customer.weight;
    return std::make_unique<ControllerLimiter>(clock_, weights);
}

void LimitsSimulation::generateArrivals()
{
    for (std::size_t customer = 0; customer < scenario_.customers.size(); ++customer) {
        const CustomerLoad& load = scenario_.customers[customer];
        double rate = isInMeasurementWindow(clock_.now()) ? load.burstCallsPerSecond : load.callsPerSecond;
        // At most one arrival per customer and tick; the largest rate is far below one per tick.
        if (random_.fraction() >= rate * inSeconds(tick))
            continue;
        Call call;
        call.customer = customer;
        call.entry = random_.index(load.entries > 0 ? load.entries : scenario_.entries);
        call.arrivedAt = clock_.now();
        call.deadline = clock_.now() + deadline;
        call.serviceTime = std::chrono::duration_cast<Duration>(seconds(1) * (0.5 + random_.fraction()));
        std::string id = std::to_string(nextCall_++);
        if (isCounted(call))
            ++result_.customers[customer].calls;
        calls_.emplace(id, call);
        submit(id);
    }
}

void LimitsSimulation::submit(const std::string& id)
{
    const Call& call = calls_.at(id);
    AdmissionRequest request;
    request.callId = id;
    request.customer = scenario_.customers[call.customer].name;
    request.deadline = call.deadline;
    apply(limiters_[call.entry]->submit(request));
}

void LimitsSimulation::endCalls()
{
    std::vector<std::string> ended;
    for (const auto& [id, call] : calls_) {
        if (call.isStarted && call.endsAt <= clock_.now())
            ended.push_back(id);
    }
    for (const std::string& id : ended) {
        const Call& call = calls_.at(id);
        limiters_[call.entry]->finished(id);
        --startedCalls_[call.entry];
        CustomerResult& result = result_.customers[call.customer];
        if (isInMeasurementWindow(call.endsAt) && call.endsAt <= call.deadline)
            ++result_.answeredInWindow;
        if (isCounted(call))
            ++(call.endsAt <= call.deadline ? result.onTime : result.late);
        calls_.erase(id);
    }
}

void LimitsSimulation::applyCapacityLoss()
{
    bool isCapacityLost = scenario_.lostSlots > 0 && isInMeasurementWindow(clock_.now());
    if (isCapacityLost == isCapacityLost_)
        return;
    isCapacityLost_ = isCapacityLost;
    std::size_t slots = scenario_.slots - (isCapacityLost ? scenario_.lostSlots : 0);
    for (std::size_t& entrySlots : slots_)
        entrySlots = slots / scenario_.entries;
    if (!isCapacityLost)
        return;
    // The calls on the lost machine, a random share of those in flight, are submitted again.
    std::vector<std::string> lost;
    double share = static_cast<double>(scenario_.lostSlots) / static_cast<double>(scenario_.slots);
    for (auto& [id, call] : calls_) {
        if (call.isStarted && random_.fraction() < share)
            lost.push_back(id);
    }
    for (const std::string& id : lost) {
        Call& call = calls_.at(id);
        call.isStarted = false;
        --startedCalls_[call.entry];
        limiters_[call.entry]->abandoned(id);
        submit(id);
    }
}

void LimitsSimulation::apply(const AdmissionDecision& decision)
{
    Call& call = calls_.at(decision.callId);
    if (decision.action == AdmissionAction::Start) {
        call.isStarted = true;
        call.endsAt = clock_.now() + call.serviceTime;
        ++startedCalls_[call.entry];
    }
    if (decision.action != AdmissionAction::Refuse)
        return;
    if (isCounted(call)) {
        ++result_.customers[call.customer].refused;
        ++result_.refusals;
        result_.refusalDelayTotal += inSeconds(clock_.now() - call.arrivedAt);
    }
    calls_.erase(decision.callId);
}

bool LimitsSimulation::isCounted(const Call& call) const
{
    return isInMeasurementWindow(call.arrivedAt);
}

bool LimitsSimulation::isInMeasurementWindow(TimePoint time) const
{
    return time - startTime_ >= scenario_.warmUp && time - startTime_ < scenario_.warmUp + measurementWindow;
}

}

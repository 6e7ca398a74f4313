#include "StreamCapacity/StreamCapacity.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace Damaskgrade {

namespace {

// What the routes of a service state about its streams.
struct StreamTargets {
    std::set<std::int32_t> priorities;
    std::optional<Duration> gap;
};

std::map<std::string, StreamTargets> streamTargets(const Catalog& catalog)
{
    std::map<std::string, StreamTargets> result;
    for (const Route& route : catalog.routes()) {
        if (route.kind != RequestKind::Streaming)
            continue;
        for (const WeightedService& service : route.services) {
            StreamTargets& targets = result[service.service];
            targets.priorities.insert(route.priority);
            if (route.targetGap > std::chrono::milliseconds::zero())
                targets.gap = std::min<Duration>(route.targetGap, targets.gap.value_or(route.targetGap));
        }
    }
    return result;
}

bool areEqual(const EngineModel& left, const EngineModel& right)
{
    auto figures = [](const EngineModel& engine) {
        return std::tie(engine.slots, engine.stepsPerPass, engine.stepMilliseconds, engine.requestMillisecondsPerStep, engine.contextMillisecondsPerStep, engine.promptTokensPerSecond,
            engine.millisecondsPerMillionPairs, engine.expertShare, engine.usualPromptTokens, engine.usualAnswerTokens);
    };
    return figures(left) == figures(right);
}

}

StreamCapacity::StreamCapacity(const Clock& clock, const FleetView& fleet, const InFlightTracker& loads, StreamCapacitySettings settings, Observer observer)
    : clock_(clock)
    , fleet_(fleet)
    , loads_(loads)
    , settings_(settings)
    , observer_(std::move(observer))
    , waitPolicy_(settings.wait)
{
}

void StreamCapacity::applyCatalog(const Catalog& catalog)
{
    std::map<std::string, Service, std::less<>> services;
    if (settings_.mode != StreamCapacityMode::Off) {
        for (const auto& [name, targets] : streamTargets(catalog)) {
            const ServiceSpecification* specification = catalog.findService(name);
            bool isWanted = settings_.mode == StreamCapacityMode::On || targets.priorities.size() > 1;
            // Without the cost of a request there is nothing to compute a bound from.
            if (!isWanted || !targets.gap || !specification || !specification->engine || specification->engine->requestMillisecondsPerStep <= 0)
                continue;
            const EngineModel& engine = *specification->engine;
            auto known = services_.find(name);
            if (known != services_.end() && areEqual(known->second.engine, engine)) {
                known->second.targetGap = *targets.gap;
                services.insert(services_.extract(known));
            } else {
                PassTimeModel passTime(clock_, engine, settings_.passTime);
                // The requests in flight were sent within about the time of a response, and waiting ones are tried again in each period.
                AdmissionReserveSettings reserve { passTime.usualResponseTime(), settings_.retryPeriod * 6 / 5 };
                services.emplace(name, Service { engine, *targets.gap, std::move(passTime), AdmissionReserve(clock_, reserve), clock_.now() });
                if (known == services_.end())
                    observer_(name, true);
                else
                    services_.erase(known);
            }
        }
    }
    services_.swap(services);
    for (const auto& [name, service] : services)
        observer_(name, false);
}

void StreamCapacity::setEntryCount(std::size_t count)
{
    entryCount_ = std::max<std::size_t>(1, count);
}

std::optional<double> StreamCapacity::capacity(const ServerRecord& server, RequestUrgency urgency)
{
    auto found = services_.find(server.service);
    if (found == services_.end())
        return std::nullopt;
    if (!hasShareLeft(found->first, found->second, urgency)) {
        found->second.reserve.recordWaiting(urgency);
        return 0;
    }
    return std::ceil(serverBound(server, found->second));
}

void StreamCapacity::recordSend(const ServerRecord& server, RequestUrgency urgency)
{
    auto found = services_.find(server.service);
    if (found != services_.end())
        found->second.reserve.recordSend(urgency);
}

double StreamCapacity::meanInFlight(const Service& service)
{
    return service.requests / std::max(1.0, service.servers);
}

double StreamCapacity::slotsOf(const ServerRecord& server, const Service& service) const
{
    return server.slots > 0 ? server.slots : std::max(1U, service.engine.slots);
}

double StreamCapacity::serverBound(const ServerRecord& server, const Service& service) const
{
    double slots = slotsOf(server, service);
    double requests = std::min(slots, service.passTime.maxRequests(server.id, service.targetGap));
    return std::max({ 1.0, std::ceil(slots * settings_.minSlotShare), requests });
}

void StreamCapacity::updateShare(std::string_view name, Service& service)
{
    Share& share = service.share;
    bool isBoundOld = !share.boundAt || clock_.now() - *share.boundAt >= settings_.statePeriod * settings_.shareLifetimePeriods;
    if (!isBoundOld && share.localChanges == loads_.localChanges())
        return;
    std::vector<const ServerRecord*> ready = fleet_.ready(name);
    const InFlightCounts& counts = loads_.localCounts();
    share.localChanges = loads_.localChanges();
    share.localInFlight = 0;
    for (const ServerRecord* server : ready) {
        auto count = counts.find(server->id);
        share.localInFlight += count == counts.end() ? 0 : count->second;
    }
    if (!isBoundOld)
        return;
    share.boundAt = clock_.now();
    share.bound = 0;
    double inFlight = 0;
    for (const ServerRecord* server : ready) {
        share.bound += serverBound(*server, service);
        inFlight += loads_.inFlight(server->id);
    }
    share.peersInFlight = inFlight - share.localInFlight;
}

// The counts of the other entries are old. If all entries sent as soon as they see room, they would all fill the same room at
// once. So an entry sends beyond its equal share only if the room suffices for other entries too.
bool StreamCapacity::hasShareLeft(std::string_view name, Service& service, RequestUrgency urgency)
{
    updateShare(name, service);
    const Share& share = service.share;
    auto entries = static_cast<double>(entryCount_);
    double room = share.bound - share.peersInFlight - share.localInFlight;
    double equalShare = std::max(1.0, share.bound / entries);
    // Never so much that less urgent requests get nothing.
    double reserved = std::min(equalShare * settings_.maxReservedShare, service.reserve.reservedFor(urgency, service.passTime.expectedPass("", meanInFlight(service))));
    return share.localInFlight + reserved < equalShare || room >= (settings_.minRoomPerEntry + reserved) * entries;
}

std::optional<StreamWait> StreamCapacity::streamWait(std::string_view service, RequestUrgency urgency, const StreamWaitLimits& limits, std::uint64_t number) const
{
    auto found = services_.find(service);
    if (found == services_.end())
        return std::nullopt;
    // A request waits for the end of the pass that runs, is read in the next one, and has its first event after one more.
    constexpr int passesUntilFirstEvent = 3;
    Duration firstEvent = passesUntilFirstEvent * found->second.passTime.expectedPass("", meanInFlight(found->second));
    return waitPolicy_.decide(urgency.isLate, limits, found->second.reserve.expectedRoom(urgency), firstEvent, number);
}

void StreamCapacity::recordPause(const ServerRecord& server, Duration pause)
{
    auto found = services_.find(server.service);
    if (found == services_.end())
        return;
    Service& service = found->second;
    double slots = slotsOf(server, service);
    // What exceeds the slots waits in the server and takes no part in its passes.
    double running = std::clamp(loads_.inFlight(server.id), 1.0, slots);
    // A pass takes as long as the requests of all ranks of a group require, so the mean of the servers determines it. Servers
    // with more requests have more pauses; the weight corrects this.
    double factor = std::exp(-std::chrono::duration<double>(clock_.now() - service.loadUpdatedAt) / (settings_.loadMemoryPeriods * std::chrono::duration<double>(settings_.statePeriod)));
    service.loadUpdatedAt = clock_.now();
    service.servers = factor * service.servers + 1 / running;
    service.requests = factor * service.requests + 1;
    service.passTime.recordPause(server.id, service.requests / service.servers, pause);
    ++recordedPauses_;
}

void StreamCapacity::removeExpired()
{
    for (auto& [name, service] : services_)
        service.passTime.removeExpired();
}

std::map<std::string, double> StreamCapacity::requestMilliseconds() const
{
    std::map<std::string, double> result;
    for (const auto& [name, service] : services_)
        result.emplace(name, service.passTime.requestMilliseconds());
    return result;
}

}

#include "Calls/CallDriver.h"
#include "Core/Random.h"
#include "Simulation.h"

#include <cstdio>
#include <limits>
#include <memory>
#include <vector>

using namespace Damaskgrade;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t seed = 20261204;

struct ClaimWriteResult {
    double writesPerBooking { 0 };
    // Percentage of claims that are stored within 250 ms.
    double inTime { 0 };
};

// Claims and completes bookings at a constant rate for 10 s. A table transaction takes 5 ms.
ClaimWriteResult runClaims(int bookingsPerSecond, std::size_t maxBatch)
{
    Simulation simulation;
    DelayedTable table(simulation, milliseconds(5));
    ClaimStoreSettings settings;
    settings.maxBatch = maxBatch;
    settings.maxQueued = 1000000;
    ClaimStore store(table, settings);
    int bookings = bookingsPerSecond * 10;
    int inTime = 0;
    for (int number = 0; number < bookings; ++number) {
        simulation.schedule(microseconds(1000000LL * number / bookingsPerSecond), [&, number] {
            ClaimRecord record;
            record.owner = "call" + std::to_string(number);
            std::string row = "claim/" + std::to_string(number);
            TimePoint start = simulation.clock().now();
            store.write(row, std::nullopt, record, [&, row, record, start](const ClaimResult&) {
                inTime += simulation.clock().now() - start <= milliseconds(250);
                ClaimRecord finished = record;
                finished.state = ClaimState::Done;
                simulation.schedule(milliseconds(30), [&, row, record, finished] { store.write(row, record, finished, [](const ClaimResult&) {}); });
            });
        });
    }
    simulation.run(seconds(2000));
    ClaimWriteResult result;
    result.writesPerBooking = static_cast<double>(store.counters().writes) / bookings;
    result.inTime = 100.0 * inTime / bookings;
    return result;
}

// Simulates one entry that sends calls to three agents. A model function decides how an agent responds.
class EntrySimulation {
public:
    // Returns the response time of a call, or nothing if the agent refuses the call.
    using AgentModel = std::function<std::optional<Duration>()>;

    EntrySimulation(AgentModel model, const RetryBudgetSettings& budget, bool isHedging)
        : table_(simulation_, milliseconds(5))
        , claims_(table_)
        , budget_(simulation_.clock(), budget)
        , model_(std::move(model))
        , isHedging_(isHedging)
    {
        // The baselines without a separate refusal budget do not limit the sends of a single call.
        if (!budget.hasSeparateRefusalBudget)
            settings_.maxRefusedSends = std::numeric_limits<std::uint32_t>::max();
    }

    // Receives calls at a constant rate, each with a deadline 250 ms after its arrival, and runs until all have ended.
    void run(int callsPerSecond, int lengthSeconds)
    {
        received = callsPerSecond * lengthSeconds;
        for (int number = 0; number < received; ++number)
            simulation_.schedule(microseconds(1000000LL * number / callsPerSecond), [this] { start(); });
        for (int step = 0; step < lengthSeconds * 1000 / tickMs + 100; ++step)
            simulation_.schedule(milliseconds(step * tickMs), [this] { tick(); });
        simulation_.run(seconds(lengthSeconds + 1));
    }

    int received { 0 };
    std::uint64_t sends { 0 };
    int onTime { 0 };

private:
    static constexpr int tickMs = 5;

    void start()
    {
        CallRequest request;
        request.kind = CallKind::Service;
        std::size_t index = drivers_.size();
        request.callId = std::to_string(index);
        request.deadline = simulation_.clock().now() + milliseconds(250);
        CallDriverHooks hooks;
        hooks.takeTicket = [this](const CallRequest&, const std::set<std::string>& tried) {
            std::uint64_t sequence = ++tickets_;
            std::string agent = "agent" + std::to_string(sequence % 3);
            if (tried.count(agent))
                agent = "agent" + std::to_string((sequence + 1) % 3);
            return std::optional<Ticket>(Ticket { agent, "1", 1, sequence });
        };
        hooks.returnTicket = [](const Ticket&) {};
        hooks.send = [this, index](const std::string&, const EntryMessage& message) {
            if (const CallMessage* call = std::get_if<CallMessage>(&message))
                deliver(index, call->callId, call->attempt);
            return true;
        };
        hooks.configurationVersion = [] { return 1; };
        hooks.onOutcome = [this](const CallOutcome& outcome) { onTime += outcome.code == ResultCode::Ok; };
        HedgePolicy& policy = isHedging_ ? hedgePolicy_ : disabledHedgePolicy_;
        drivers_.push_back(std::make_unique<CallDriver>(request, simulation_.clock(), claims_, budget_, policy, settings_, hooks));
        drivers_.back()->start();
    }

    void deliver(std::size_t index, const std::string& callId, std::uint32_t attempt)
    {
        ++sends;
        std::optional<Duration> time = model_();
        if (!time) {
            simulation_.schedule(milliseconds(2), [this, index, callId, attempt] {
                drivers_[index]->receiveRefused({ callId, attempt, ResultCode::BackendServerRefused, {} });
            });
            return;
        }
        simulation_.schedule(*time, [this, index, callId, attempt] {
            drivers_[index]->receivePart({ callId, attempt, 0, "found" });
            drivers_[index]->receiveEnd({ callId, attempt, 5, ResultCode::Ok, {} });
        });
    }

    void tick()
    {
        // Reset in each tick, so that it never has enough samples to send a hedge.
        disabledHedgePolicy_ = HedgePolicy();
        for (; firstActive_ < drivers_.size() && drivers_[firstActive_]->isFinished(); ++firstActive_)
            continue;
        for (std::size_t index = firstActive_; index < drivers_.size(); ++index)
            drivers_[index]->tick();
    }

    Simulation simulation_;
    DelayedTable table_;
    ClaimStore claims_;
    RetryBudget budget_;
    CallDriverSettings settings_;
    HedgePolicy hedgePolicy_;
    HedgePolicy disabledHedgePolicy_;
    AgentModel model_;
    bool isHedging_;
    std::uint64_t tickets_ { 0 };
    std::size_t firstActive_ { 0 };
    std::vector<std::unique_ptr<CallDriver>> drivers_;
};

RetryBudgetSettings unlimitedBudget()
{
    RetryBudgetSettings settings;
    settings.retriesPerCall = 1e9;
    settings.maxAvailableRetries = 1e12;
    settings.hasSeparateRefusalBudget = false;
    return settings;
}

void compareClaims()
{
    std::printf("Table writes per booking (claim and stored answer), 5 ms per transaction\n");
    std::printf("%12s %12s %12s %22s %22s\n", "bookings/s", "single", "batched", "in 250 ms, single", "in 250 ms, batched");
    for (int rate : { 10, 50, 100, 500, 2000 }) {
        ClaimWriteResult single = runClaims(rate, 1);
        ClaimWriteResult batched = runClaims(rate, 128);
        std::printf("%12d %12.3f %12.3f %21.1f%% %21.1f%%\n", rate, single.writesPerBooking, batched.writesPerBooking, single.inTime, batched.inTime);
    }
}

// All retries use one budget, whether the previous send was refused or failed.
RetryBudgetSettings sharedBudget()
{
    RetryBudgetSettings settings;
    settings.hasSeparateRefusalBudget = false;
    return settings;
}

RetryBudgetSettings separateRefusalBudget(double refusalRetriesPerStart)
{
    RetryBudgetSettings settings;
    settings.refusalRetriesPerStart = refusalRetriesPerStart;
    return settings;
}

void compareBudgets()
{
    std::printf("\nSends per received call and calls answered while a share of sends is refused, 200 calls/s for 20 s\n");
    std::printf("%12s %16s %16s %16s %16s %16s\n", "refused", "no budget", "one budget 20%", "0.5 per start", "1 per start", "2 per start");
    for (double refused : { 0.05, 0.3, 0.6, 0.9, 1.0 }) {
        std::printf("%11.0f%%", refused * 100);
        for (const RetryBudgetSettings& settings : { unlimitedBudget(), sharedBudget(), separateRefusalBudget(0.5), separateRefusalBudget(1), separateRefusalBudget(2) }) {
            std::shared_ptr<Random> random = std::make_shared<Random>(seed);
            EntrySimulation::AgentModel model = [random, refused]() -> std::optional<Duration> {
                if (random->fraction() < refused)
                    return std::nullopt;
                return Duration(milliseconds(20 + random->index(20)));
            };
            EntrySimulation calls(model, settings, false);
            calls.run(200, 20);
            std::printf(" %8.2f %6.1f%%", static_cast<double>(calls.sends) / calls.received, 100.0 * calls.onTime / calls.received);
        }
        std::printf("\n");
    }
}

void compareHedges()
{
    std::printf("\nLookups answered within 250 ms, 100 calls/s for 30 s, slow lookups take 300 to 1500 ms\n");
    std::printf("%12s %16s %16s %24s\n", "slow", "no hedge", "hedge at p95", "sends per call (hedge)");
    for (double slow : { 0.01, 0.03, 0.06, 0.15 }) {
        std::vector<std::unique_ptr<EntrySimulation>> variants;
        for (bool isHedging : { false, true }) {
            std::shared_ptr<Random> random = std::make_shared<Random>(seed);
            EntrySimulation::AgentModel model = [random, slow]() -> std::optional<Duration> {
                bool isSlow = random->fraction() < slow;
                return Duration(milliseconds(isSlow ? 300 + random->index(1200) : 20 + random->index(30)));
            };
            variants.push_back(std::make_unique<EntrySimulation>(model, RetryBudgetSettings(), isHedging));
            variants.back()->run(100, 30);
        }
        std::printf("%11.0f%% %15.2f%% %15.2f%% %24.3f\n", slow * 100, 100.0 * variants[0]->onTime / variants[0]->received,
            100.0 * variants[1]->onTime / variants[1]->received, static_cast<double>(variants[1]->sends) / variants[1]->received);
    }
}

}

int main()
{
    compareClaims();
    compareBudgets();
    compareHedges();
    return 0;
}

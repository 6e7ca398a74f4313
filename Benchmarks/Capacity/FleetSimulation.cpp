#include "FleetSimulation.h"

#include "Configuration/ConfigurationRows.h"
#include "Configuration/Document.h"

#include <cstdio>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::uint64_t seed = 20261204;
// One-way delays, between two entries and for a request to the table or its response.
constexpr std::chrono::milliseconds linkDelay { 5 };
constexpr std::chrono::milliseconds tableDelay { 10 };
// Same period as in ConfigurationNode.
constexpr std::chrono::milliseconds tickPeriod { 25 };
// Validating the document at all entries would repeat the same work and take minutes at the larger sizes.
constexpr std::size_t validatingEntries = 2;

constexpr const char* otherSections = R"(
[models.model.briefing]
groups = ["briefing-1"]
ranks = 8
layers = 24
experts_per_layer = 64
expert_slots_per_rank = 9

[models.service.addresses.operation]
lookup = { idempotent = true }

[oncall.timeouts]
default_deadline_ms = 30000
max_deadline_ms = 90000
stall_ms = 300
resolve_ms = 1000

[oncall.drain]
limit_s = 120

[oncall.retries]
share = 0.2
floor_per_s = 2

[oncall.ejection]
after_errors = 5
for_s = 30
max_share = 0.3

[scheduling.default]
skew_weight = 1
cost_weight = 4
horizon_s = 1800
min_interval_s = 300
max_moved_mib = 2048
max_stall_ms = 300

[teams.all]
sections = ["customers", "models", "oncall", "scheduling", "teams"]
token_sha256 = ["c75771efa7c12513c0a99a80ac1f21a9fbaab5c6f30b2c9f4980ce554262abda"]
)";

}

ConfigurationText makeDocument(int customers)
{
    std::string text;
    for (int number = 0; number < customers; ++number) {
        char name[32];
        std::snprintf(name, sizeof(name), "customer-%04d", number);
        text += std::string("[customers.") + name
            + "]\nweight = 2\npriority = 4\nmax_in_flight = 100\ndeadline_ms = 60000\nmodels = [\"briefing\"]\nservices = [\"addresses\"]\n\n";
    }
    return ConfigurationText::split(text + otherSections);
}

// The table client of one entry. Responds after a fixed delay and counts the operations of the entry.
class FleetSimulation::EntryTableClient : public Table {
public:
    EntryTableClient(FleetSimulation& simulation, std::size_t index)
        : simulation_(simulation)
        , index_(index)
    {
    }

    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override
    {
        ++counters().tableReads;
        respond([this, keys, done] { return std::function<void()>([result = simulation_.rows_.read(keys), done] { done(result); }); });
    }

    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override
    {
        ++counters().tableReads;
        respond([this, prefix, done] { return std::function<void()>([result = simulation_.rows_.scan(prefix), done] { done(result); }); });
    }

    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override
    {
        ++counters().tableWrites;
        respond([this, writes, done] { return std::function<void()>([result = simulation_.rows_.write(writes), done] { done(result); }); });
    }

private:
    FleetCounters& counters() { return simulation_.entries_[index_]->counters; }

    // Executes the operation after tableDelay and passes the result to the caller after another tableDelay. Drops the
    // operation if the table is not reachable.
    void respond(std::function<std::function<void()>()> execute)
    {
        simulation_.schedule(tableDelay, [this, execute = std::move(execute)] {
            if (!simulation_.isTableReachable_)
                return;
            simulation_.schedule(tableDelay, [this, done = execute()] { counters().time.measure(done); });
        });
    }

    FleetSimulation& simulation_;
    std::size_t index_;
};

FleetSimulation::FleetSimulation(std::size_t slots, const ConfigurationText& text)
    : random_(seed)
    , reachableCount_(slots)
{
    for (std::size_t index = 0; index < slots; ++index) {
        char name[32];
        std::snprintf(name, sizeof(name), "entry-%04zu", index);
        names_.emplace_back(name);
        indexes_[name] = index;
        entries_.push_back(std::make_unique<Entry>());
    }
    rows_.write(initialRows(text, names_));
    for (std::size_t index = 0; index < slots; ++index)
        schedule(std::chrono::milliseconds(random_.index(1000)), [this, index] { start(index); });
}

void FleetSimulation::start(std::size_t index)
{
    Entry& entry = *entries_[index];
    entry.table = std::make_unique<EntryTableClient>(*this, index);
    MembershipSettings membership;
    membership.self = names_[index];
    membership.incarnation = static_cast<std::uint32_t>(index) + 1;
    membership.slots = names_;
    membership.limits = timeLimitsForSlots(names_.size());
    MembershipHooks membershipHooks;
    membershipHooks.sendRequest = [this, index](const std::string& slot, const GossipRequest& message) { post(index, slot, encodeMessage(message, 1)); };
    membershipHooks.sendGossip = [this, index](const std::string& slot, const GossipMessage& message) { post(index, slot, encodeMessage(message, 1)); };
    membershipHooks.onDigest = [&entry](const std::string& slot, const std::string& digest, TimePoint asOf) { entry.protocol->observeDigest(slot, digest, asOf); };
    entry.membership = std::make_unique<Membership>(membership, clock_, random_, membershipHooks);
    ChangeProtocolHooks hooks;
    hooks.send = [this, index](const std::string& slot, const ConfigurationMessage& message) { post(index, slot, encodeMessage(message, 1)); };
    hooks.validate = [index](const ConfigurationText& text) {
        if (index < validatingEntries)
            parseDocument(text);
    };
    hooks.authorize = [](const ConfigurationText&, const std::string&, const std::string&) { return std::string("all"); };
    hooks.onInForce = [index](const DocumentPointer& document) {
        if (index < validatingEntries)
            parseDocument(document->text);
    };
    hooks.onDigest = [&entry](const std::string& digest) { entry.membership->setDigest(digest); };
    entry.protocol = std::make_unique<ChangeProtocol>(ChangeProtocolSettings { names_[index], names_, membership.limits }, *entry.table, clock_, hooks);
}

void FleetSimulation::schedule(Duration delay, std::function<void()> task)
{
    scheduledTasks_.emplace(clock_.now() + delay, std::move(task));
}

void FleetSimulation::advance(Duration duration)
{
    TimePoint end = clock_.now() + duration;
    while (clock_.now() < end) {
        TimePoint next = clock_.now() + tickPeriod;
        while (!scheduledTasks_.empty() && scheduledTasks_.begin()->first <= next) {
            auto first = scheduledTasks_.begin();
            std::function<void()> task = std::move(first->second);
            clock_.advance(first->first - clock_.now());
            scheduledTasks_.erase(first);
            task();
        }
        clock_.advance(next - clock_.now());
        for (std::size_t index = 0; index < reachableCount_; ++index) {
            const std::unique_ptr<Entry>& entry = entries_[index];
            if (!entry->protocol)
                continue;
            entry->counters.time.measure([&entry] {
                entry->membership->tick();
                entry->protocol->tick();
            });
        }
    }
}

void FleetSimulation::post(std::size_t from, const std::string& to, const Frame& frame)
{
    FleetCounters& counters = entries_[from]->counters;
    std::shared_ptr<Bytes> bytes = std::make_shared<Bytes>(encodeFrame(frame));
    counters.bytesSent += wireBytesForSize(bytes->size());
    ++counters.messagesSent;
    std::size_t target = indexes_.at(to);
    schedule(linkDelay, [this, from, target, bytes] { deliver(from, target, *bytes); });
}

void FleetSimulation::deliver(std::size_t from, std::size_t to, const Bytes& bytes)
{
    Entry& entry = *entries_[to];
    bool isLost = from >= reachableCount_ || to >= reachableCount_;
    if (!entry.protocol || isLost)
        return;
    entry.counters.time.measure([&] {
        Frame frame = decodeFrame(bytes);
        if (frame.type == GossipRequest::type) {
            entry.membership->receive(names_[from], decodeGossipRequest(frame.body));
            return;
        }
        if (frame.type == GossipMessage::type) {
            entry.membership->receive(names_[from], decodeGossip(frame.body));
            return;
        }
        std::optional<ConfigurationMessage> message = decodeConfigurationMessage(frame);
        if (message)
            entry.protocol->receive(names_[from], *message);
    });
}

void FleetSimulation::submit(const std::string& changeId, const std::string& section, const std::string& text)
{
    ChangeProtocol& coordinator = *entries_[0]->protocol;
    entries_[0]->counters.time.measure([&] {
        coordinator.submit(changeId, { section, text, coordinator.inForce()->version, "token" });
    });
}

bool FleetSimulation::isInForceEverywhere(ConfigurationVersion version) const
{
    for (std::size_t index = 0; index < reachableCount_; ++index) {
        const std::unique_ptr<Entry>& entry = entries_[index];
        if (!entry->protocol || !entry->protocol->inForce() || entry->protocol->inForce()->version < version)
            return false;
    }
    return true;
}

void FleetSimulation::isolate(std::size_t reachableCount, bool isTableReachable)
{
    reachableCount_ = reachableCount;
    isTableReachable_ = isTableReachable;
}

std::size_t FleetSimulation::admittingCount() const
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < reachableCount_; ++index)
        count += entries_[index]->protocol->admission().isAllowed ? 1 : 0;
    return count;
}

FleetCounters FleetSimulation::totalCounters() const
{
    FleetCounters sum;
    for (const std::unique_ptr<Entry>& entry : entries_) {
        sum.bytesSent += entry->counters.bytesSent;
        sum.messagesSent += entry->counters.messagesSent;
        sum.tableReads += entry->counters.tableReads;
        sum.tableWrites += entry->counters.tableWrites;
        sum.time.add(entry->counters.time.seconds());
    }
    return sum;
}

}

#include "GroupSimulation.h"

#include "SimulatedGroup.h"
#include "Transport/Link.h"

#include <fcntl.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds tableDelay { 4 };
constexpr std::chrono::milliseconds engineDelay { 1 };
constexpr std::chrono::milliseconds engineCallTimeout { 200 };
// Headers of a frame on its way: websocket, TCP and IP.
constexpr std::size_t frameOverhead = 70;
constexpr std::size_t engineReportBytes = 700;
constexpr std::size_t engineOrderBytes = 350;
constexpr std::size_t jsonBytesPerExpert = 5;
// A lost frame is sent again by the transport protocol after about this time.
constexpr std::chrono::milliseconds retransmissionDelay { 220 };
// A link opens after a few round trips.
constexpr int opensAfterDelays = 6;

std::string nodeName(std::uint32_t node)
{
    return "agent-" + std::to_string(node);
}

Endpoint linkEndpoint(std::uint32_t node)
{
    return { "10.0.0." + std::to_string(node), 7340 };
}

Endpoint engineEndpoint(std::uint32_t node)
{
    return { "10.0.0." + std::to_string(node), 8586 };
}

std::uint32_t nodeOf(const Endpoint& endpoint)
{
    return static_cast<std::uint32_t>(std::stoul(endpoint.address.substr(endpoint.address.rfind('.') + 1)));
}

}

class GroupSimulation::Node {
public:
    std::unique_ptr<NodeScheduler> scheduler;
    std::unique_ptr<GroupMember> member;
    // Increases with each start of the agent, so that links to an earlier one are recognized as closed.
    std::uint64_t start { 0 };
    std::uint32_t zone { 0 };
    TimePoint sendsUntil;
    TimePoint receivesUntil;
    TimePoint pausedUntil;
    TimePoint cutUntil;
    std::uint64_t bytesSent { 0 };
    std::uint64_t bytesReceived { 0 };
};

// Runs the timers of one agent, unless it is paused.
class GroupSimulation::NodeScheduler : public TaskScheduler {
public:
    NodeScheduler(GroupSimulation& simulation, std::uint32_t node)
        : simulation_(simulation)
        , node_(node)
    {
    }

    void post(std::function<void()> task) override
    {
        simulation_.schedule(node_, Duration(0), std::move(task));
    }

    std::unique_ptr<Timer> after(std::chrono::milliseconds delay, std::function<void()> task) override
    {
        auto timer = std::make_unique<Handle>();
        start(timer->isActive, delay, false, std::make_shared<std::function<void()>>(std::move(task)));
        return timer;
    }

    std::unique_ptr<Timer> every(std::chrono::milliseconds period, std::function<void()> task) override
    {
        auto timer = std::make_unique<Handle>();
        start(timer->isActive, period, true, std::make_shared<std::function<void()>>(std::move(task)));
        return timer;
    }

private:
    class Handle : public Timer {
    public:
        ~Handle() override { *isActive = false; }

        std::shared_ptr<bool> isActive { std::make_shared<bool>(true) };
    };

    void start(const std::shared_ptr<bool>& isActive, std::chrono::milliseconds delay, bool isPeriodic, const std::shared_ptr<std::function<void()>>& task)
    {
        simulation_.schedule(node_, delay, [this, isActive, delay, isPeriodic, task] {
            if (!*isActive)
                return;
            (*task)();
            if (isPeriodic && *isActive)
                start(isActive, delay, isPeriodic, task);
        });
    }

    GroupSimulation& simulation_;
    std::uint32_t node_;
};

// The end of a link at the agent that accepted it.
class GroupSimulation::Session : public LinkSession {
public:
    Session(GroupSimulation& simulation, std::uint32_t from, std::uint32_t to, std::function<void(const Frame&)> deliver)
        : simulation_(simulation)
        , from_(from)
        , to_(to)
        , deliver_(std::move(deliver))
    {
    }

    void send(const Frame& frame) override
    {
        simulation_.transmit(from_, to_, encodeFrame(frame).size() + frameOverhead, [deliver = deliver_, frame] { deliver(frame); });
    }

    void close() override { }
    std::size_t pendingBytes() const override { return 0; }

private:
    GroupSimulation& simulation_;
    std::uint32_t from_;
    std::uint32_t to_;
    std::function<void(const Frame&)> deliver_;
};

class GroupSimulation::Links : public ProcessLinks {
public:
    Links(GroupSimulation& simulation, std::uint32_t node, ProcessLinkHooks hooks)
        : simulation_(simulation)
        , node_(node)
        , hooks_(std::make_shared<ProcessLinkHooks>(std::move(hooks)))
    {
    }

    ~Links() override { *isActive_ = false; }

    void setTargets(const std::map<std::string, Endpoint>& targets) override
    {
        for (auto target = targets_.begin(); target != targets_.end();)
            target = targets.count(target->first) == 0 ? targets_.erase(target) : std::next(target);
        for (const auto& [name, endpoint] : targets) {
            if (targets_.count(name) == 0)
                open(name, nodeOf(endpoint));
        }
    }

    bool send(const std::string& name, const Frame& frame) override
    {
        if (!isOpen(name))
            return false;
        const Target& target = targets_.at(name);
        simulation_.transmit(node_, target.node, encodeFrame(frame).size() + frameOverhead, [this, active = isActive_, target, frame] {
            Node& node = *simulation_.nodes_[target.node];
            if (*active && node.member && node.start == target.start)
                node.member->receive(target.session, frame);
        });
        return true;
    }

    bool isOpen(const std::string& name) const override
    {
        auto found = targets_.find(name);
        if (found == targets_.end() || !found->second.session)
            return false;
        const Node& node = *simulation_.nodes_[found->second.node];
        return node.member && node.start == found->second.start;
    }

    std::size_t openCount() const override
    {
        return static_cast<std::size_t>(std::count_if(targets_.begin(), targets_.end(), [this](const auto& target) { return isOpen(target.first); }));
    }

private:
    struct Target {
        std::uint32_t node { 0 };
        std::uint64_t start { 0 };
        std::shared_ptr<LinkSession> session;
    };

    void open(const std::string& name, std::uint32_t node)
    {
        targets_[name] = { node, 0, nullptr };
        simulation_.schedule(node_, simulation_.settings_.zoneDelay * opensAfterDelays, [this, active = isActive_, name, node] {
            if (!*active || targets_.count(name) == 0)
                return;
            const Node& other = *simulation_.nodes_[node];
            if (!other.member || other.cutUntil > simulation_.clock_.now()) {
                retry(name, node);
                return;
            }
            auto deliver = [active, hooks = hooks_, name](const Frame& frame) {
                if (*active)
                    hooks->onFrame(name, frame);
            };
            targets_[name] = { node, other.start, std::make_shared<Session>(simulation_, node, node_, deliver) };
            hooks_->onOpen(name);
        });
    }

    void retry(const std::string& name, std::uint32_t node)
    {
        constexpr std::chrono::milliseconds retryDelay { 500 };
        simulation_.schedule(node_, retryDelay, [this, active = isActive_, name, node] {
            if (*active && targets_.count(name) != 0)
                open(name, node);
        });
    }

    GroupSimulation& simulation_;
    std::uint32_t node_;
    std::shared_ptr<ProcessLinkHooks> hooks_;
    std::map<std::string, Target> targets_;
    std::shared_ptr<bool> isActive_ { std::make_shared<bool>(true) };
};

// Client of the engine of one rank. Calls from another machine use the links of both.
class GroupSimulation::Engine : public RankEngine {
public:
    Engine(GroupSimulation& simulation, std::uint32_t node, std::uint32_t rank)
        : simulation_(simulation)
        , node_(node)
        , rank_(rank)
    {
    }

    ~Engine() override { *isActive_ = false; }

    void report(std::function<void(std::optional<RankReport>)> done) override
    {
        call<std::optional<RankReport>>(
            engineOrderBytes, engineReportBytes, engineCallTimeout, [this] { return simulation_.group_->report(rank_); }, std::nullopt, std::move(done));
    }

    void counts(std::function<void(std::optional<ExpertCounts>)> done) override
    {
        std::size_t bytes = jsonBytesPerExpert * simulation_.settings_.sets * simulation_.settings_.expertsPerSet;
        call<std::optional<ExpertCounts>>(
            engineOrderBytes, bytes, engineCallTimeout, [this] { return simulation_.group_->counts(rank_); }, std::nullopt, std::move(done));
    }

    void lists(std::function<void(std::optional<RankLists>)> done) override
    {
        call<std::optional<RankLists>>(
            engineOrderBytes, engineReportBytes, engineCallTimeout, [this] { return simulation_.group_->lists(rank_); }, std::nullopt, std::move(done));
    }

    void order(const RankOrder& order, std::chrono::milliseconds timeout, std::function<void(RankOrderResult)> done) override
    {
        std::size_t bytes = engineOrderBytes;
        if (order.map)
            bytes += jsonBytesPerExpert * simulation_.settings_.sets * simulation_.settings_.expertsPerSet;
        call<RankOrderResult>(
            bytes, engineOrderBytes, timeout, [this, order] { return simulation_.group_->execute(rank_, order); }, RankOrderResult::Unknown, std::move(done));
    }

private:
    template <typename Result>
    void call(std::size_t requestBytes, std::size_t responseBytes, std::chrono::milliseconds timeout, std::function<Result()> execute, Result failure, std::function<void(Result)> done)
    {
        auto pending = std::make_shared<std::function<void(Result)>>(std::move(done));
        auto finish = [active = isActive_, pending](Result result) {
            std::function<void(Result)> callback = std::exchange(*pending, nullptr);
            if (callback && *active)
                callback(std::move(result));
        };
        simulation_.schedule(node_, timeout, [finish, failure] { finish(failure); });
        // The engine is on the machine of its rank, and goes on while the agent there is paused or gone.
        auto respond = [this, active = isActive_, responseBytes, execute = std::move(execute), finish] {
            if (!*active)
                return;
            Result result = execute();
            simulation_.transmit(rank_, node_, responseBytes, [finish, result] { finish(result); });
        };
        simulation_.transmit(
            node_, rank_, requestBytes, [&simulation = simulation_, respond] { simulation.tasks_.emplace(simulation.clock_.now() + engineDelay, respond); }, Receiver::Engine);
    }

    GroupSimulation& simulation_;
    std::uint32_t node_;
    std::uint32_t rank_;
    std::shared_ptr<bool> isActive_ { std::make_shared<bool>(true) };
};

class GroupSimulation::MemoryTable : public Table {
public:
    explicit MemoryTable(GroupSimulation& simulation)
        : simulation_(simulation)
    {
    }

    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override
    {
        TableReadResult result;
        for (const std::string& key : keys) {
            auto row = rows.find(key);
            if (row != rows.end())
                result.rows.push_back(row->second);
        }
        respond(result, done);
    }

    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override
    {
        TableReadResult result;
        for (const auto& [key, row] : rows) {
            if (key.compare(0, prefix.size(), prefix) == 0)
                result.rows.push_back(row);
        }
        respond(result, done);
    }

    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override
    {
        TableWriteResult result { isDown() ? ResultCode::TableUnavailable : ResultCode::Ok, 1 };
        for (const TableWrite& write : writes) {
            RowVersion version = rows.count(write.key) != 0 ? rows[write.key].version : absentVersion;
            if (!isDown() && write.expectedVersion && *write.expectedVersion != version)
                result.status = ResultCode::TableConflict;
        }
        for (const TableWrite& write : writes) {
            if (result.status == ResultCode::Ok && write.value)
                rows[write.key] = { write.key, *write.value, ++version_ };
        }
        later([result, done] { done(result); });
    }

    std::map<std::string, TableRow> rows;
    TimePoint downUntil;

private:
    bool isDown() const { return downUntil > simulation_.clock_.now(); }

    void respond(TableReadResult result, const std::function<void(const TableReadResult&)>& done)
    {
        result.status = isDown() ? ResultCode::TableUnavailable : ResultCode::Ok;
        if (isDown())
            result.rows.clear();
        result.generation = 1;
        later([result, done] { done(result); });
    }

    // The owner of a callback may be gone by then, as only stopAgent() destroys agents; it does so after their tasks.
    void later(std::function<void()> task) { simulation_.tasks_.emplace(simulation_.clock_.now() + tableDelay, std::move(task)); }

    GroupSimulation& simulation_;
    RowVersion version_ { 0 };
};

class GroupSimulation::FixedCatalog : public CatalogSource {
public:
    explicit FixedCatalog(const GroupSimulationSettings& settings)
    {
        ServiceSpecification service { "model", EngineModel { 6, settings.sets, settings.expertsPerSet, settings.slotsPerRank, settings.spareSlots } };
        result_.status = CatalogReadStatus::Ok;
        result_.version.catalog = std::make_shared<Catalog>(1, std::vector<Route>(), std::vector<ServiceSpecification> { service }, std::nullopt, CallerLimits {});
    }

    void read(Done done) override { done(result_); }
    void awaitChange(std::uint64_t, std::chrono::milliseconds, Done) override { }
    CatalogVersion decode(const std::string&) const override { return {}; }

private:
    CatalogReadResult result_;
};

GroupSimulation::GroupSimulation(GroupSimulationSettings settings)
    : settings_(settings)
    , random_(settings.seed)
    , log_(clock_, ::open("/dev/null", O_WRONLY | O_CLOEXEC), "simulation")
    , table_(std::make_unique<MemoryTable>(*this))
    , catalog_(std::make_unique<FixedCatalog>(settings))
    , group_(std::make_unique<SimulatedGroup>(clock_, SimulatedGroup::Layout { settings.ranks, settings.sets, settings.expertsPerSet, settings.slotsPerRank, settings.spareSlots }, random_))
{
    for (std::uint32_t rank = 0; rank < settings_.ranks; ++rank) {
        nodes_.push_back(std::make_unique<Node>());
        nodes_.back()->zone = rank * settings_.zones / settings_.ranks;
        nodes_.back()->scheduler = std::make_unique<NodeScheduler>(*this, rank);
    }
    for (std::uint32_t rank = 0; rank < settings_.ranks; ++rank)
        startAgent(rank);
    tasks_.emplace(clock_.now(), [this] { beginPass(); });
}

// The pending tasks refer to the nodes.
GroupSimulation::~GroupSimulation()
{
    tasks_.clear();
    for (std::unique_ptr<Node>& node : nodes_)
        node->member = nullptr;
}

void GroupSimulation::beginPass()
{
    Duration time = group_->beginPass();
    tasks_.emplace(clock_.now() + time, [this] { beginPass(); });
}

void GroupSimulation::run(std::chrono::milliseconds time)
{
    TimePoint end = clock_.now() + time;
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
        auto next = tasks_.begin();
        if (next->first > clock_.now())
            clock_.advance(next->first - clock_.now());
        std::function<void()> task = std::move(next->second);
        tasks_.erase(next);
        task();
    }
    clock_.advance(end - clock_.now());
}

void GroupSimulation::schedule(std::uint32_t node, Duration delay, std::function<void()> task)
{
    tasks_.emplace(clock_.now() + delay, [this, node, task = std::move(task)] {
        TimePoint wakesAt = nodes_[node]->pausedUntil;
        if (wakesAt > clock_.now())
            tasks_.emplace(wakesAt, task);
        else
            task();
    });
}

void GroupSimulation::transmit(std::uint32_t from, std::uint32_t to, std::size_t bytes, std::function<void()> task, Receiver kind)
{
    auto deliver = [this, to, kind](Duration delay, std::function<void()> received) {
        if (kind == Receiver::Agent)
            schedule(to, delay, std::move(received));
        else
            tasks_.emplace(clock_.now() + delay, std::move(received));
    };
    if (from == to) {
        deliver(std::chrono::microseconds(100), std::move(task));
        return;
    }
    Node& sender = *nodes_[from];
    Node& receiver = *nodes_[to];
    TimePoint now = clock_.now();
    if (sender.cutUntil > now || receiver.cutUntil > now)
        return;
    auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(bytes) / settings_.linkBytesPerSecond));
    sender.bytesSent += bytes;
    receiver.bytesReceived += bytes;
    sender.sendsUntil = std::max(sender.sendsUntil, now) + time;
    Duration delay = sender.zone == receiver.zone ? Duration(std::chrono::microseconds(100)) : Duration(settings_.zoneDelay);
    if (sender.zone != receiver.zone)
        bytesBetweenZones_ += bytes;
    if (random_.fraction() < settings_.lossShare)
        delay += retransmissionDelay;
    // The two links transmit at the same time, so the time counts once unless the receiver's link is busy.
    receiver.receivesUntil = std::max(receiver.receivesUntil + time, sender.sendsUntil + delay);
    deliver(receiver.receivesUntil - now, std::move(task));
}

void GroupSimulation::shiftDemand()
{
    group_->shiftDemand();
}

void GroupSimulation::startAgent(std::uint32_t rank)
{
    RankAgentSettings settings;
    settings.name = nodeName(rank);
    settings.service = "model";
    settings.link = linkEndpoint(rank);
    settings.engine = engineEndpoint(rank);
    settings.linkBytesPerSecond = settings_.linkBytesPerSecond;
    Node& node = *nodes_[rank];
    settings.availabilityZone = "zone-" + std::to_string(node.zone);
    ++node.start;
    RankAgentPlatform platform { *table_, *catalog_, [this, rank](const Endpoint& engine) { return std::make_unique<Engine>(*this, rank, nodeOf(engine)); } };
    MakeProcessLinks makeLinks = [this, rank](ProcessLinkHooks hooks) { return std::make_unique<Links>(*this, rank, std::move(hooks)); };
    node.member = std::make_unique<GroupMember>(*node.scheduler, clock_, random_, settings, platform, makeLinks, log_);
}

void GroupSimulation::stopAgent(std::uint32_t rank)
{
    Node& node = *nodes_[rank];
    // Calls of the table that are under way refer to the agent.
    run(tableDelay + std::chrono::milliseconds(1));
    node.member = nullptr;
}

void GroupSimulation::pauseAgent(std::uint32_t rank, std::chrono::milliseconds time)
{
    nodes_[rank]->pausedUntil = clock_.now() + time;
}

void GroupSimulation::cutAgent(std::uint32_t rank, std::chrono::milliseconds time)
{
    nodes_[rank]->cutUntil = clock_.now() + time;
}

void GroupSimulation::takeTableDown(std::chrono::milliseconds time)
{
    table_->downUntil = clock_.now() + time;
}

std::uint32_t GroupSimulation::controller() const
{
    for (std::uint32_t rank = 0; rank < nodes_.size(); ++rank) {
        const GroupMember* member = nodes_[rank]->member.get();
        if (member && member->control() && member->control()->mayPlan() && member->control()->term() == term())
            return rank;
    }
    return settings_.ranks;
}

std::uint64_t GroupSimulation::term() const
{
    auto row = table_->rows.find("mapControllers/group-1");
    return row == table_->rows.end() ? 0 : std::stoull(row->second.value);
}

std::uint64_t GroupSimulation::completedChanges() const
{
    return group_->completedChanges();
}

std::uint64_t GroupSimulation::mixedPasses() const
{
    return group_->mixedPasses();
}

std::uint64_t GroupSimulation::passes() const
{
    return group_->passes();
}

double GroupSimulation::skew() const
{
    return group_->skew();
}

Duration GroupSimulation::lastChangeTime() const
{
    return group_->lastChangeTime();
}

Duration GroupSimulation::longestHold() const
{
    return group_->longestHold();
}

std::uint64_t GroupSimulation::mostBytesSent() const
{
    std::uint64_t most = 0;
    for (const std::unique_ptr<Node>& node : nodes_)
        most = std::max(most, node->bytesSent);
    return most;
}

std::uint64_t GroupSimulation::mostBytesReceived() const
{
    std::uint64_t most = 0;
    for (const std::unique_ptr<Node>& node : nodes_)
        most = std::max(most, node->bytesReceived);
    return most;
}

std::uint64_t GroupSimulation::bytesBetweenZones() const
{
    return bytesBetweenZones_;
}

void GroupSimulation::resetTraffic()
{
    bytesBetweenZones_ = 0;
    for (const std::unique_ptr<Node>& node : nodes_) {
        node->bytesSent = 0;
        node->bytesReceived = 0;
    }
}

}

#include "Configuration/ConfigurationSimulation.h"

#include "Configuration/Document.h"
#include "Core/Error.h"

#include <algorithm>
#include <stdexcept>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tickInterval { 25 };
constexpr milliseconds tableDelay { 5 };
constexpr milliseconds clientTimeout { 900 };
constexpr milliseconds maxSlowTableDelay { 5000 };
constexpr milliseconds delayedWriteDelay { 15000 };
// Longer than the delay of a write and the time limits of a change together.
constexpr milliseconds convergenceTime { 30000 };
// Intentionally not taken from TimeLimits: the oracle must not change with it.
constexpr milliseconds inForceBound { 7000 };

[[noreturn]] void fail(const std::string& message)
{
    throw std::runtime_error(message);
}

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

ConfigurationText initialText()
{
    std::map<std::string, std::string> sections;
    for (const std::string& section : sectionNames())
        sections[section] = "[" + section + "]\nchange = \"initial\"\n";
    return ConfigurationText::fromSections(sections);
}

}

void ConfigurationOracle::recordAdmission(const std::string& slot, ConfigurationVersion version, TimePoint now)
{
    firstAdmitted_.emplace(version, now);
    for (auto newer = firstAdmitted_.upper_bound(version); newer != firstAdmitted_.end(); ++newer) {
        if (now - newer->second > inForceBound)
            fail(slot + " admitted under version " + number(version) + " more than 7 s after an admission under version " + number(newer->first));
    }
    for (auto newer = accepted_.upper_bound(version); newer != accepted_.end(); ++newer) {
        if (now - newer->second > inForceBound)
            fail(slot + " admitted under version " + number(version) + " more than 7 s after version " + number(newer->first) + " was accepted");
    }
}

void ConfigurationOracle::inForce(const std::string& slot, const CommittedDocument& document, TimePoint)
{
    ConfigurationVersion& highest = highest_[slot];
    if (document.version < highest)
        fail(slot + " went from version " + number(highest) + " down to " + number(document.version));
    highest = document.version;
    inForceChanges_.insert(document.changeId);
    if (refused_.count(document.changeId) > 0)
        fail(slot + " has change " + document.changeId + " in force, which was reported refused");
    auto known = changeOfVersion_.emplace(document.version, document.changeId).first;
    if (known->second != document.changeId)
        fail("version " + number(document.version) + " is change " + known->second + ", but on " + slot + " it is " + document.changeId);
}

void ConfigurationOracle::recordReportedState(const ChangeRecord& change, TimePoint now)
{
    if (change.state == ChangeState::Accepted)
        accepted_.emplace(change.version, now);
    if (change.state != ChangeState::Refused)
        return;
    refused_.insert(change.id);
    if (inForceChanges_.count(change.id) > 0)
        fail("change " + change.id + " was reported refused and is in force");
}

// A table client with the same timeout as the real client: it always calls back, at the latest with
// TableUnavailable after the timeout.
class ConfigurationSimulation::TableClient : public Table {
public:
    TableClient(ConfigurationSimulation& simulation, std::size_t index)
        : simulation_(simulation)
        , index_(index)
    {
    }

    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override
    {
        run<TableReadResult>([rows = &simulation_.rows_, keys] { return rows->read(keys); }, done);
    }

    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override
    {
        run<TableReadResult>([rows = &simulation_.rows_, prefix] { return rows->scan(prefix); }, done);
    }

    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override
    {
        run<TableWriteResult>([rows = &simulation_.rows_, writes] { return rows->write(writes); }, done, true);
    }

private:
    template <typename Result>
    void run(std::function<Result()> execute, const std::function<void(const Result&)>& done, bool isWrite = false)
    {
        bool isTableUnreachable = simulation_.isPartitioned_ && ((simulation_.partitionMask_ >> index_) & 1U) != (simulation_.tableBit_ ? 1U : 0U);
        TableMode mode = isTableUnreachable ? TableMode::Down : simulation_.tableMode_;
        bool isDelayedWrite = mode == TableMode::WritesDelayed && isWrite;
        Duration delay = mode == TableMode::Slow ? simulation_.randomDelay(maxSlowTableDelay) : Duration(isDelayedWrite ? delayedWriteDelay : tableDelay);
        // Shared by the response and the timeout, so that only the first of them is delivered.
        std::shared_ptr<bool> hasResponded = std::make_shared<bool>(false);
        ConfigurationSimulation* simulation = &simulation_;
        std::size_t index = index_;
        if (mode != TableMode::Down) {
            bool sendsResponse = mode != TableMode::ResponsesLost;
            simulation_.schedule(delay, std::nullopt, [=] {
                Result result = execute();
                if (sendsResponse)
                    simulation->schedule(tableDelay, index, [=] { respond(hasResponded, done, result); });
            });
        }
        simulation_.schedule(clientTimeout, index_, [=] { respond(hasResponded, done, Result()); });
    }

    template <typename Result>
    static void respond(const std::shared_ptr<bool>& hasResponded, const std::function<void(const Result&)>& done, const Result& result)
    {
        if (*hasResponded)
            return;
        *hasResponded = true;
        done(result);
    }

    ConfigurationSimulation& simulation_;
    std::size_t index_;
};

ConfigurationSimulation::ConfigurationSimulation(std::size_t slotCount, std::uint64_t seed, TimeLimits limits)
    : limits_(limits)
    , random_(seed)
    , slots_(slotCount)
{
    for (std::size_t index = 0; index < slotCount; ++index) {
        slots_[index].name = "entry-" + number(index + 1);
        names_.push_back(slots_[index].name);
    }
    rows_.write(initialRows(initialText(), names_));
    for (std::size_t index = 0; index < slotCount; ++index)
        start(index);
}

void ConfigurationSimulation::start(std::size_t index)
{
    index %= slots_.size();
    Slot& slot = slots_[index];
    if (slot.protocol)
        return;
    slot.isPaused = false;
    ++slot.incarnation;
    slot.table = std::make_unique<TableClient>(*this, index);
    slot.membership = std::make_unique<Membership>(MembershipSettings { slot.name, slot.incarnation, names_, limits_ }, clock_, random_, membershipHooks(index));
    slot.protocol = std::make_unique<ChangeProtocol>(ChangeProtocolSettings { slot.name, names_, limits_ }, *slot.table, clock_, protocolHooks(index));
}

void ConfigurationSimulation::kill(std::size_t index)
{
    Slot& slot = at(index);
    slot.protocol.reset();
    slot.membership.reset();
    slot.isPaused = false;
}

MembershipHooks ConfigurationSimulation::membershipHooks(std::size_t index)
{
    MembershipHooks hooks;
    hooks.sendRequest = [this, index](const std::string& to, const GossipRequest& request) { post(index, to, encodeMessage(request, 0)); };
    hooks.sendGossip = [this, index](const std::string& to, const GossipMessage& message) { post(index, to, encodeMessage(message, 0)); };
    hooks.onDigest = [this, index](const std::string& slot, const std::string& digest, TimePoint asOf) {
        slots_[index].protocol->observeDigest(slot, digest, asOf);
    };
    return hooks;
}

ChangeProtocolHooks ConfigurationSimulation::protocolHooks(std::size_t index)
{
    ChangeProtocolHooks hooks;
    hooks.send = [this, index](const std::string& to, const ConfigurationMessage& message) { post(index, to, encodeMessage(message, 0)); };
    hooks.validate = [this, index](const ConfigurationText&) {
        if (rejectingIndex_ == index)
            throw Error(ResultCode::DocumentInvalid, "line 2, change: is invalid; write anything else");
    };
    hooks.authorize = [](const ConfigurationText&, const std::string&, const std::string&) { return std::string("team"); };
    hooks.onInForce = [](const DocumentPointer&) {};
    hooks.onDigest = [this, index](const std::string& digest) { slots_[index].membership->setDigest(digest); };
    return hooks;
}

void ConfigurationSimulation::schedule(Duration delay, std::optional<std::size_t> target, std::function<void()> run)
{
    if (target) {
        // An event for a process is lost if the process has been killed.
        std::uint32_t incarnation = slots_[*target].incarnation;
        run = [this, target, incarnation, inner = std::move(run)] {
            if (slots_[*target].protocol && slots_[*target].incarnation == incarnation)
                inner();
        };
    }
    events_.emplace(clock_.now() + delay, Event { target, std::move(run) });
}

void ConfigurationSimulation::post(std::size_t from, const std::string& to, const Frame& frame)
{
    std::size_t target = indexOf(to);
    if (filter_ && !filter_(to, frame))
        return;
    if (!isReachable(from, target) || random_.fraction() < network_.lossShare)
        return;
    std::size_t copies = random_.fraction() < network_.duplicateShare ? 2 : 1;
    for (std::size_t copy = 0; copy < copies; ++copy)
        schedule(randomDelay(network_.maxDelay), target, [this, from, target, frame] { deliver(from, target, frame); });
}

void ConfigurationSimulation::deliver(std::size_t from, std::size_t to, const Frame& frame)
{
    Slot& slot = slots_[to];
    const std::string& sender = slots_[from].name;
    if (frame.type == GossipRequest::type)
        slot.membership->receive(sender, decodeGossipRequest(frame.body));
    else if (frame.type == GossipMessage::type)
        slot.membership->receive(sender, decodeGossip(frame.body));
    else
        slot.protocol->receive(sender, *decodeConfigurationMessage(frame));
}

void ConfigurationSimulation::advance(Duration duration)
{
    for (Duration elapsed {}; elapsed < duration; elapsed += tickInterval) {
        clock_.advance(tickInterval);
        runDueEvents();
        for (Slot& slot : slots_) {
            if (!slot.protocol || slot.isPaused)
                continue;
            // Also checked before the timers run, because a call may arrive first after a resume.
            observe(slot);
            slot.membership->tick();
            slot.protocol->tick();
            observe(slot);
        }
    }
}

void ConfigurationSimulation::runDueEvents()
{
    for (auto event = events_.begin(); event != events_.end() && event->first <= clock_.now();) {
        bool isTargetPaused = event->second.target && slots_[*event->second.target].isPaused;
        if (isTargetPaused) {
            ++event;
            continue;
        }
        std::function<void()> run = std::move(event->second.run);
        event = events_.erase(event);
        run();
    }
}

void ConfigurationSimulation::observe(Slot& slot)
{
    if (slot.protocol->inForce())
        oracle_.inForce(slot.name, *slot.protocol->inForce(), clock_.now());
    observeChanges(slot);
    Admission admission = slot.protocol->admission();
    if (!admission.isAllowed)
        return;
    ++counters_.admissions;
    if (isFaulty())
        ++counters_.admissionsUnderFaults;
    oracle_.recordAdmission(slot.name, admission.version, clock_.now());
}

void ConfigurationSimulation::observeChanges(Slot& slot)
{
    for (const ChangeRecord& change : slot.protocol->history()) {
        oracle_.recordReportedState(change, clock_.now());
        // Only the coordinator of a change records its team.
        if (change.team.empty())
            continue;
        auto [last, isNew] = lastStates_.emplace(change.id, change.state);
        if (!isNew && last->second == change.state)
            continue;
        last->second = change.state;
        counters_.accepted += change.state == ChangeState::Accepted ? 1 : 0;
        counters_.refused += change.state == ChangeState::Refused ? 1 : 0;
        counters_.undecided += change.state == ChangeState::Undecided ? 1 : 0;
    }
}

std::string ConfigurationSimulation::submit(std::size_t index, const std::string& section, ConfigurationVersion behind)
{
    Slot& slot = at(index);
    std::string id = "change-" + number(nextChange_++);
    if (!slot.protocol || slot.isPaused || !slot.protocol->inForce())
        return id;
    ConfigurationVersion version = slot.protocol->inForce()->version;
    ChangeRequest request { section, "[" + section + "]\nchange = \"" + id + "\"\n", version - std::min(behind, version), "token" };
    try {
        slot.protocol->submit(id, request);
    } catch (const Error& error) {
        oracle_.refusedAtSubmission(id);
        submitErrors_[id] = error.what();
    }
    return id;
}

void ConfigurationSimulation::partition(unsigned mask, bool tableBit)
{
    isPartitioned_ = true;
    partitionMask_ = mask;
    tableBit_ = tableBit;
}

void ConfigurationSimulation::clearFaults()
{
    isPartitioned_ = false;
    tableMode_ = TableMode::Up;
    network_ = NetworkMode();
    for (std::size_t index = 0; index < slots_.size(); ++index) {
        resume(index);
        start(index);
    }
}

void ConfigurationSimulation::checkConvergence()
{
    clearFaults();
    advance(convergenceTime);
    HeadRow row = head();
    counters_.versions = row.committed;
    if (row.inForce != row.committed)
        fail("the head row shows version " + number(row.inForce) + " in force and " + number(row.committed) + " committed after all faults were cleared");
    for (Slot& slot : slots_) {
        Admission admission = slot.protocol->admission();
        if (!admission.isAllowed)
            fail(slot.name + " admits no work after all faults were cleared: " + admission.reason);
        if (admission.version != row.committed)
            fail(slot.name + " has version " + number(admission.version) + " instead of " + number(row.committed) + " after all faults were cleared");
        for (const ChangeRecord& change : slot.protocol->history()) {
            if (change.state != ChangeState::Accepted && change.state != ChangeState::Refused)
                fail("change " + change.id + " is still " + std::string(changeStateName(change.state)) + " on " + slot.name);
        }
    }
}

ConfigurationVersion ConfigurationSimulation::inForceAt(std::size_t index)
{
    Slot& slot = at(index);
    return slot.protocol && slot.protocol->inForce() ? slot.protocol->inForce()->version : 0;
}

bool ConfigurationSimulation::admits(std::size_t index)
{
    Slot& slot = at(index);
    return slot.protocol && slot.protocol->admission().isAllowed;
}

const HeadRow ConfigurationSimulation::head() const
{
    return decodeHead(rows_.read({ headKey }).rows.front().value);
}

bool ConfigurationSimulation::isReachable(std::size_t from, std::size_t to) const
{
    return !isPartitioned_ || ((partitionMask_ >> from) & 1U) == ((partitionMask_ >> to) & 1U);
}

bool ConfigurationSimulation::isFaulty() const
{
    bool isNetworkFaulty = isPartitioned_ || network_.lossShare > 0 || network_.duplicateShare > 0 || network_.maxDelay > NetworkMode().maxDelay;
    bool isAnyDown = std::any_of(slots_.begin(), slots_.end(), [](const Slot& slot) { return !slot.protocol || slot.isPaused; });
    return isNetworkFaulty || isAnyDown || tableMode_ != TableMode::Up;
}

std::size_t ConfigurationSimulation::indexOf(const std::string& name) const
{
    return static_cast<std::size_t>(std::find(names_.begin(), names_.end(), name) - names_.begin());
}

Duration ConfigurationSimulation::randomDelay(Duration upperBound)
{
    return milliseconds(random_.index(static_cast<std::size_t>(std::chrono::duration_cast<milliseconds>(upperBound).count()) + 1));
}

}

#include "Configuration/ChangeProtocol.h"

#include "Core/Error.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

// Staggers the writes of the entries that mark a version in force if its coordinator has failed.
constexpr std::chrono::milliseconds markStaggerInterval { 50 };
constexpr std::size_t markStaggerSlots = 40;
// At this limit, a new proposal evicts the one with the lowest change id, so that proposals that are
// never committed don't accumulate.
constexpr std::size_t maxProposals = 64;

}

ChangeProtocol::ChangeProtocol(ChangeProtocolSettings settings, Table& table, const Clock& clock, ChangeProtocolHooks hooks)
    : settings_(std::move(settings))
    , clock_(clock)
    , hooks_(std::move(hooks))
    , store_(table, clock)
    , member_(settings_.self, settings_.slots, settings_.limits)
    , log_(clock)
    , coordinator_(settings_.self, settings_.slots, settings_.limits, clock, store_, member_, log_, coordinatorHooks())
{
    checkTimeLimits(settings_.limits);
}

CoordinatorHooks ChangeProtocol::coordinatorHooks()
{
    CoordinatorHooks hooks;
    hooks.send = hooks_.send;
    hooks.validate = hooks_.validate;
    hooks.authorize = hooks_.authorize;
    hooks.onCommitted = [this](const DocumentPointer& document) { finishCommit(document); };
    return hooks;
}

void ChangeProtocol::tick()
{
    TimePoint now = clock_.now();
    if (!polledAt_ || now - *polledAt_ >= settings_.limits.headPollInterval)
        pollHead();
    coordinator_.tick();
    if (isMarkDue())
        markInForce();
}

void ChangeProtocol::submit(const std::string& changeId, const ChangeRequest& request)
{
    coordinator_.submit(changeId, request);
}

Admission ChangeProtocol::admission() const
{
    return member_.admission(clock_.now());
}

void ChangeProtocol::pollHead()
{
    polledAt_ = clock_.now();
    store_.readHead([this](const std::optional<HeadState>& head) {
        if (head)
            handleHead(*head);
    });
}

void ChangeProtocol::handleHead(const HeadState& head)
{
    member_.recordHead(head, clock_.now());
    auto proposal = proposals_.find(head.row.changeId);
    bool isProposed = proposal != proposals_.end() && proposal->second->version == head.row.committed;
    if (isProposed)
        recordDocument(DocumentPointer(proposal->second));
    else if (head.row.committed > member_.learnedVersion())
        fetchFromTable(head.row.committed);
    updateInForceVersion();
}

void ChangeProtocol::fetchFromTable(ConfigurationVersion version)
{
    store_.readDocument(version, [this](const std::optional<CommittedDocument>& document) {
        if (!document)
            return;
        recordDocument(std::make_shared<const CommittedDocument>(*document));
        updateInForceVersion();
    });
}

void ChangeProtocol::fetchFromPeer(const std::string& slot)
{
    TimePoint now = clock_.now();
    if (fetchedAt_ && now - *fetchedAt_ < settings_.limits.gossipPeriod)
        return;
    fetchedAt_ = now;
    hooks_.send(slot, DocumentRequest { member_.learnedVersion() });
}

void ChangeProtocol::recordDocument(const DocumentPointer& document)
{
    if (!member_.recordDocument(document, clock_.now()))
        return;
    log_.addRemoteChange(*document);
    for (auto proposal = proposals_.begin(); proposal != proposals_.end();)
        proposal = proposal->second->version <= document->version ? proposals_.erase(proposal) : std::next(proposal);
    hooks_.onDigest(encodeDigest(member_.digest()));
}

void ChangeProtocol::finishCommit(const DocumentPointer& document)
{
    locallyCommittedVersion_ = document->version;
    recordDocument(document);
    broadcastLearned(true);
    pollHead();
    updateInForceVersion();
}

// Switches to the learned version if that is safe, and updates the state that depends on the
// version in force.
void ChangeProtocol::updateInForceVersion()
{
    bool hasSwitched = member_.trySwitch();
    log_.acceptUpTo(member_.inForceVersion());
    const std::optional<HeadState>& head = member_.head();
    bool isHeadBehind = head && head->row.inForce < member_.inForceVersion();
    if (!isHeadBehind)
        headLagSince_.reset();
    else if (!headLagSince_)
        headLagSince_ = clock_.now();
    if (!hasSwitched)
        return;
    hooks_.onDigest(encodeDigest(member_.digest()));
    hooks_.onInForce(member_.inForce());
    if (locallyCommittedVersion_ != member_.inForceVersion())
        return;
    broadcastLearned(false);
    pollHead();
}

void ChangeProtocol::broadcastLearned(bool wantsReply)
{
    LearnedMessage message { member_.learnedVersion(), member_.learned()->changeId, member_.inForceVersion(), wantsReply };
    for (const std::string& slot : settings_.slots) {
        if (slot != settings_.self)
            hooks_.send(slot, message);
    }
}

// The coordinator marks its version immediately. If it has failed, the peers do so, each after a
// different delay. A document that the table has lost is committed again in the same way.
bool ChangeProtocol::isMarkDue() const
{
    const std::optional<HeadState>& head = member_.head();
    bool isCommitted = head && (head->row.committed >= member_.inForceVersion() || member_.hasTableLostCommit());
    if (!isCommitted || !headLagSince_)
        return false;
    TimePoint now = clock_.now();
    if (markedAt_ && now - *markedAt_ < settings_.limits.headPollInterval)
        return false;
    auto slot = std::find(settings_.slots.begin(), settings_.slots.end(), settings_.self);
    std::size_t staggerIndex = static_cast<std::size_t>(slot - settings_.slots.begin()) % markStaggerSlots;
    bool isCoordinator = locallyCommittedVersion_ == member_.inForceVersion();
    return isCoordinator || now - *headLagSince_ > settings_.limits.headPollInterval + staggerIndex * markStaggerInterval;
}

void ChangeProtocol::markInForce()
{
    markedAt_ = clock_.now();
    auto readAgain = [this](ResultCode) { pollHead(); };
    if (member_.hasTableLostCommit())
        store_.commitAgain(*member_.head(), *member_.learned(), member_.inForceVersion(), readAgain);
    else
        store_.markInForce(*member_.head(), member_.inForceVersion(), readAgain);
}

void ChangeProtocol::receive(const std::string& from, const ConfigurationMessage& message)
{
    std::visit([this, &from](const auto& typed) { handle(from, typed); }, message);
}

void ChangeProtocol::observeDigest(const std::string& slot, const std::string& digest, TimePoint asOf)
{
    // An entry that has not read the table since its start may have lost versions that it learned
    // before the restart, so its digest is empty and does not count as evidence.
    std::optional<VersionDigest> versions = decodeDigest(digest);
    if (!versions)
        return;
    member_.recordContact(slot, *versions, asOf, clock_.now());
    if (versions->learned > member_.learnedVersion())
        fetchFromPeer(slot);
    updateInForceVersion();
}

void ChangeProtocol::handle(const std::string& from, const ProposeMessage& message)
{
    hooks_.send(from, voteOn(from, message));
}

ProposeResultMessage ChangeProtocol::voteOn(const std::string& from, const ProposeMessage& message)
{
    ProposeResultMessage result { message.changeId, message.base, ProposeVote::Behind, {} };
    if (message.base > member_.learnedVersion()) {
        member_.recordCommitted(message.base, clock_.now());
        fetchFromPeer(from);
    }
    if (!member_.isInitialized() || message.base != member_.learnedVersion()) {
        result.reason = "the newest version that the slot has learned is " + std::to_string(member_.learnedVersion());
        return result;
    }
    try {
        CommittedDocument candidate = applyChange(*member_.learned(), message.changeId, message.section, message.text);
        hooks_.validate(candidate.text);
        if (proposals_.size() >= maxProposals)
            proposals_.erase(proposals_.begin());
        proposals_[message.changeId] = std::make_shared<const CommittedDocument>(std::move(candidate));
        result.vote = ProposeVote::CanApply;
    } catch (const Error& error) {
        result.vote = ProposeVote::Invalid;
        result.reason = error.what();
    }
    return result;
}

void ChangeProtocol::handle(const std::string& from, const ProposeResultMessage& message)
{
    coordinator_.receive(from, message);
}

void ChangeProtocol::handle(const std::string& from, const LearnedMessage& message)
{
    member_.recordVersions(from, { message.version, message.inForce }, clock_.now());
    auto proposal = proposals_.find(message.changeId);
    bool isProposed = proposal != proposals_.end() && proposal->second->version == message.version;
    if (isProposed)
        recordDocument(DocumentPointer(proposal->second));
    else if (message.version > member_.learnedVersion())
        fetchFromPeer(from);
    updateInForceVersion();
    if (message.wantsReply && member_.learnedVersion() >= message.version)
        sendLearned(from);
}

void ChangeProtocol::sendLearned(const std::string& to)
{
    hooks_.send(to, LearnedMessage { member_.learnedVersion(), member_.learned()->changeId, member_.inForceVersion(), false });
}

void ChangeProtocol::handle(const std::string& from, const DocumentRequest& message)
{
    if (member_.learnedVersion() > message.have)
        hooks_.send(from, DocumentMessage { *member_.learned() });
}

void ChangeProtocol::handle(const std::string& from, const DocumentMessage& message)
{
    // Before it has read the table, an entry can't tell whether a peer's document is outdated.
    if (!member_.isInitialized())
        return;
    recordDocument(std::make_shared<const CommittedDocument>(message.document));
    updateInForceVersion();
    sendLearned(from);
}

ChangeRecord ChangeProtocol::change(const std::string& id) const
{
    return withInForceSlots(log_.find(id));
}

std::vector<ChangeRecord> ChangeProtocol::history() const
{
    std::vector<ChangeRecord> records;
    for (const ChangeRecord& record : log_.records())
        records.push_back(withInForceSlots(record));
    return records;
}

ChangeRecord ChangeProtocol::withInForceSlots(ChangeRecord record) const
{
    if (record.version > 0)
        record.inForceOn = member_.slotsInForce(record.version);
    return record;
}

}

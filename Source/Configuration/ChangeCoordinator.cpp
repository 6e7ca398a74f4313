#include "Configuration/ChangeCoordinator.h"

#include "Core/Error.h"

namespace Damaskgrade {

namespace {

// A change that conflicts with a committed change of another section is proposed again on the new version.
constexpr int maxAttempts = 4;

}

CommittedDocument applyChange(const CommittedDocument& base, const std::string& changeId, const std::string& section, const std::string& text)
{
    CommittedDocument document = base;
    document.version = base.version + 1;
    document.changeId = changeId;
    document.section = section;
    document.text = base.text.withSection(section, text);
    document.sectionVersions[section] = document.version;
    return document;
}

ChangeCoordinator::ChangeCoordinator(std::string self, std::vector<std::string> slots, const TimeLimits& limits, const Clock& clock,
    ConfigurationStore& store, MemberState& member, ChangeLog& log, CoordinatorHooks hooks)
    : self_(std::move(self))
    , slots_(std::move(slots))
    , limits_(limits)
    , clock_(clock)
    , store_(store)
    , member_(member)
    , log_(log)
    , hooks_(std::move(hooks))
{
}

void ChangeCoordinator::submit(const std::string& changeId, const ChangeRequest& request)
{
    if (!member_.isInitialized())
        throw Error(ResultCode::NotReady, "this entry has not read the configuration yet; submit the change to another entry");
    const CommittedDocument& base = *member_.learned();
    std::string team = hooks_.authorize(base.text, request.section, request.token);
    checkBaseVersion(request);
    hooks_.validate(applyChange(base, changeId, request.section, request.text).text);
    if (change_)
        throw Error(ResultCode::ChangeInProgress, "change " + change_->id + " is in progress at this entry; submit the change again after it is decided");
    const std::optional<HeadState>& head = member_.head();
    if (!head || clock_.now() - head->sentAt > limits_.contactLease)
        throw Error(ResultCode::TableUnavailable, "the table can't be reached; the change was not started");
    log_.add(changeId, request.section, team);
    change_.emplace();
    change_->id = changeId;
    change_->request = request;
    change_->waitingSince = clock_.now();
    tick();
}

// Throws Error(VersionMismatch) if the section was changed since the version that the operator read.
void ChangeCoordinator::checkBaseVersion(const ChangeRequest& request) const
{
    const CommittedDocument& base = *member_.learned();
    auto changedAt = base.sectionVersions.find(request.section);
    ConfigurationVersion version = changedAt == base.sectionVersions.end() ? 0 : changedAt->second;
    if (request.basedOn < version || request.basedOn > base.version) {
        throw Error(ResultCode::VersionMismatch,
            "the change is based on version " + std::to_string(request.basedOn) + ", but section " + request.section + " was last changed by version "
                + std::to_string(version) + " of " + std::to_string(base.version) + "; read the section again and submit the change again");
    }
}

void ChangeCoordinator::tick()
{
    if (!change_)
        return;
    TimePoint now = clock_.now();
    if (change_->phase == ChangePhase::Waiting && isPreviousInForce())
        propose();
    else if (change_->phase == ChangePhase::Waiting && now - change_->waitingSince > limits_.inForceBound)
        refuse(ResultCode::ChangeInProgress, "the previous version is not in force yet; submit the change again later");
    else if (change_->phase == ChangePhase::Proposing)
        checkVotes();
    else if (change_->phase == ChangePhase::Committing && now - change_->sentAt > limits_.tableTimeout)
        readOutcome();
}

bool ChangeCoordinator::isPreviousInForce() const
{
    const std::optional<HeadState>& head = member_.head();
    ConfigurationVersion version = member_.learnedVersion();
    return head && head->row.committed == version && head->row.inForce == version && member_.inForceVersion() == version;
}

void ChangeCoordinator::propose()
{
    try {
        checkBaseVersion(change_->request);
        change_->candidate = std::make_shared<const CommittedDocument>(
            applyChange(*member_.learned(), change_->id, change_->request.section, change_->request.text));
        hooks_.validate(change_->candidate->text);
    } catch (const Error& error) {
        return refuse(error.code(), error.what());
    }
    change_->phase = ChangePhase::Proposing;
    change_->proposedAt = clock_.now();
    change_->head = *member_.head();
    change_->canApply = { self_ };
    change_->behindReasons.clear();
    ++change_->attempt;
    sendProposals();
    checkVotes();
}

void ChangeCoordinator::sendProposals()
{
    change_->sentAt = clock_.now();
    ProposeMessage proposal { change_->id, change_->candidate->version - 1, change_->request.section, change_->request.text };
    for (const std::string& slot : slots_) {
        if (change_->canApply.count(slot) == 0)
            hooks_.send(slot, proposal);
    }
}

void ChangeCoordinator::receive(const std::string& from, const ProposeResultMessage& result)
{
    bool isCurrent = change_ && change_->phase == ChangePhase::Proposing && result.changeId == change_->id && result.base + 1 == change_->candidate->version;
    if (!isCurrent)
        return;
    if (result.vote == ProposeVote::Invalid)
        return refuse(ResultCode::ChangeRefused, from + " can't apply the change: " + result.reason);
    if (result.vote == ProposeVote::CanApply)
        change_->canApply.insert(from);
    else
        change_->behindReasons[from] = result.reason;
    checkVotes();
}

void ChangeCoordinator::checkVotes()
{
    TimePoint now = clock_.now();
    std::vector<std::string> missing = missingVotes();
    bool isMajority = member_.isMajority(change_->canApply.size());
    if (missing.empty() && isMajority)
        return commit();
    if (now - change_->proposedAt > limits_.proposeTimeout) {
        std::string reason = isMajority ? missing.front() + " is in contact and did not confirm that it can apply the change"
                                        : "only " + std::to_string(change_->canApply.size()) + " of " + std::to_string(slots_.size()) + " entry slots confirmed that they can apply the change";
        if (!missing.empty() && change_->behindReasons.count(missing.front()) > 0)
            reason += ": " + change_->behindReasons[missing.front()];
        return refuse(ResultCode::ChangeRefused, reason);
    }
    if (now - change_->sentAt > limits_.resendInterval)
        sendProposals();
}

std::vector<std::string> ChangeCoordinator::missingVotes() const
{
    std::vector<std::string> missing;
    for (const std::string& slot : slots_) {
        if (change_->canApply.count(slot) == 0 && member_.hasContact(slot, clock_.now()))
            missing.push_back(slot);
    }
    return missing;
}

template <typename Callback>
auto ChangeCoordinator::forCurrentAttempt(Callback callback)
{
    return [this, id = change_->id, attempt = change_->attempt, callback = std::move(callback)](const auto& result) {
        if (change_ && change_->id == id && change_->attempt == attempt && change_->phase == ChangePhase::Committing)
            callback(result);
    };
}

void ChangeCoordinator::commit()
{
    change_->phase = ChangePhase::Committing;
    change_->sentAt = clock_.now();
    store_.commit(change_->head, *change_->candidate, forCurrentAttempt([this](ResultCode code) {
        if (code == ResultCode::Ok)
            return finishCommitted();
        // A conflict doesn't prove that the change was not committed: an earlier attempt of the same
        // write may have succeeded.
        readOutcome();
    }));
}

void ChangeCoordinator::readOutcome()
{
    log_.setState(change_->id, ChangeState::Undecided);
    change_->sentAt = clock_.now();
    store_.readOutcome(change_->candidate->version, forCurrentAttempt([this](const std::optional<CommitOutcome>& outcome) {
        if (outcome)
            handleOutcome(*outcome);
    }));
}

void ChangeCoordinator::handleOutcome(const CommitOutcome& outcome)
{
    if (outcome.changeId == change_->id)
        return finishCommitted();
    if (!outcome.changeId && outcome.head.row.committed >= change_->candidate->version)
        return finishUndecided();
    // commit() may have sent this write several times, and delayed requests may still be in transit.
    // All are conditional on the same version of the head row. If the head row has another version and
    // the document is not from this change, none of them can take effect any more.
    if (outcome.changeId || outcome.head.rowVersion != change_->head.rowVersion)
        return retryOrRefuse();
    commit();
}

// Ends the change without an outcome: the document of its version was already deleted from the
// table, so it can't be compared with this change.
void ChangeCoordinator::finishUndecided()
{
    log_.setReason(change_->id, ResultCode::ChangeUndecided,
        "the table was unavailable for so long that it no longer shows whether version " + std::to_string(change_->candidate->version) + " is this change; read the section to check");
    change_.reset();
}

void ChangeCoordinator::finishCommitted()
{
    DocumentPointer document = change_->candidate;
    log_.setCommitted(change_->id, document->version);
    change_.reset();
    hooks_.onCommitted(document);
}

void ChangeCoordinator::retryOrRefuse()
{
    if (change_->attempt >= maxAttempts)
        return refuse(ResultCode::VersionMismatch, "other changes were committed first; read the section again and submit the change again");
    log_.setState(change_->id, ChangeState::Proposed);
    change_->phase = ChangePhase::Waiting;
    change_->waitingSince = clock_.now();
}

void ChangeCoordinator::refuse(ResultCode code, const std::string& reason)
{
    log_.refuse(change_->id, code, reason);
    change_.reset();
}

}

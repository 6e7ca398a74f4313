#pragma once

#include "Configuration/ChangeLog.h"
#include "Configuration/MemberState.h"

#include <functional>
#include <set>

namespace Damaskgrade {

// A change of one section, as submitted by an operator.
struct ChangeRequest {
    std::string section;
    std::string text;
    // The version that the operator read (If-Match).
    ConfigurationVersion basedOn { 0 };
    // The token of the operator's team.
    std::string token;
};

struct CoordinatorHooks {
    std::function<void(const std::string& slot, const ConfigurationMessage&)> send;
    // Throws Error(DocumentInvalid).
    std::function<void(const ConfigurationText&)> validate;
    // Returns the team that the token belongs to. Throws Error(NotSectionOwner).
    std::function<std::string(const ConfigurationText&, const std::string& section, const std::string& token)> authorize;
    std::function<void(const DocumentPointer&)> onCommitted;
};

// Returns the document that results from applying a change to its base document.
// Throws Error(UnknownSection) or Error(DocumentInvalid).
CommittedDocument applyChange(const CommittedDocument& base, const std::string& changeId, const std::string& section, const std::string& text);

enum class ChangePhase {
    // Waits until the previous version is in force.
    Waiting,
    Proposing,
    // The commit was sent; its outcome is unknown until the table responds.
    Committing,
};

// The state of the change that a coordinator is processing.
struct OngoingChange {
    std::string id;
    ChangeRequest request;
    ChangePhase phase { ChangePhase::Waiting };
    TimePoint waitingSince;
    TimePoint proposedAt;
    TimePoint sentAt;
    // The head row on which the commit is conditional.
    HeadState head;
    DocumentPointer candidate;
    std::set<std::string> canApply;
    std::map<std::string, std::string> behindReasons;
    // How often the change was proposed. In each attempt, the commit may be sent several times.
    int attempt { 0 };
};

// Processes one change at a time from its submission to the decision: collects votes, commits
// with one conditional write of the head row, and reads the table to resolve the outcome of a write
// that got no response.
class ChangeCoordinator {
public:
    ChangeCoordinator(std::string self, std::vector<std::string> slots, const TimeLimits& limits, const Clock& clock,
        ConfigurationStore& store, MemberState& member, ChangeLog& log, CoordinatorHooks hooks);

    // Starts a change. Throws Error(NotReady, UnknownSection, NotSectionOwner, VersionMismatch,
    // DocumentInvalid, ChangeInProgress, TableUnavailable); the change then takes effect on no entry.
    void submit(const std::string& changeId, const ChangeRequest& request);

    void tick();
    void receive(const std::string& from, const ProposeResultMessage& result);
    bool isBusy() const { return change_.has_value(); }

private:
    void checkBaseVersion(const ChangeRequest& request) const;
    bool isPreviousInForce() const;
    void propose();
    void sendProposals();
    void checkVotes();
    std::vector<std::string> missingVotes() const;
    void commit();
    void readOutcome();
    void handleOutcome(const CommitOutcome& outcome);
    void finishUndecided();
    void finishCommitted();
    void retryOrRefuse();
    void refuse(ResultCode code, const std::string& reason);

    // Wraps a callback so that it does nothing after the current commit attempt has ended.
    template <typename Callback>
    auto forCurrentAttempt(Callback callback);

    std::string self_;
    std::vector<std::string> slots_;
    TimeLimits limits_;
    const Clock& clock_;
    ConfigurationStore& store_;
    MemberState& member_;
    ChangeLog& log_;
    CoordinatorHooks hooks_;
    std::optional<OngoingChange> change_;
};

}

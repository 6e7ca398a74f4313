#include "Membership/Membership.h"

#include "Core/Error.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

constexpr std::size_t randomPeerCount = 2;

}

Membership::Membership(MembershipSettings settings, const Clock& clock, Random& random, MembershipHooks hooks)
    : settings_(std::move(settings))
    , clock_(clock)
    , random_(random)
    , hooks_(std::move(hooks))
    , health_(settings_.limits.gossipPeriod)
{
    checkTimeLimits(settings_.limits);
    std::sort(settings_.slots.begin(), settings_.slots.end());
    if (!std::binary_search(settings_.slots.begin(), settings_.slots.end(), settings_.self))
        throw Error(ResultCode::SettingsInvalid, "\"" + settings_.self + "\" is not one of the entry slots in the settings");
    slotSet_ = slotSetHash(settings_.slots);
}

void Membership::tick()
{
    TimePoint now = clock_.now();
    if (lastPeriodAt_ && now - *lastPeriodAt_ < settings_.limits.gossipPeriod)
        return;
    health_.recordPeriod(now, requestsSent_, responsesReceived_);
    lastPeriodAt_ = now;
    requestsSent_ = 0;
    responsesReceived_ = 0;
    expireRequests();
    for (const std::string& slot : selectPeers())
        requestGossip(slot);
}

void Membership::requestGossip(const std::string& slot)
{
    std::uint64_t nonce = random_.bits();
    // A peer without contact for longer than the suspicion timeout has probably failed. Its missing
    // responses are no sign that the local process is slow.
    auto contact = contacts_.find(slot);
    bool countsForHealth = contact != contacts_.end() && clock_.now() - contact->second.asOf <= settings_.limits.suspicionTimeout;
    pending_[nonce] = { slot, clock_.now(), countsForHealth };
    requestsSent_ += countsForHealth ? 1 : 0;
    hooks_.sendRequest(slot, { slotSet_, nonce });
}

void Membership::expireRequests()
{
    for (auto request = pending_.begin(); request != pending_.end();) {
        bool isOld = clock_.now() - request->second.sentAt > maxReportedAge;
        request = isOld ? pending_.erase(request) : std::next(request);
    }
}

std::vector<std::string> Membership::selectPeers()
{
    std::vector<std::string> peers = settings_.slots;
    peers.erase(std::find(peers.begin(), peers.end(), settings_.self));
    if (settings_.slots.size() <= maxFullGossipSlots)
        return peers;
    for (std::size_t selected = 0; selected < randomPeerCount; ++selected)
        std::swap(peers[selected], peers[selected + random_.index(peers.size() - selected)]);
    peers.resize(randomPeerCount);
    return peers;
}

void Membership::receive(const std::string& from, const GossipRequest& request)
{
    if (request.slotSet == slotSet_)
        hooks_.sendGossip(from, { slotSet_, request.nonce, ageVector() });
}

void Membership::receive(const std::string& from, const GossipMessage& message)
{
    auto request = pending_.find(message.nonce);
    bool isExpected = request != pending_.end() && request->second.slot == from;
    if (!isExpected || message.slotSet != slotSet_ || message.slots.size() != settings_.slots.size())
        return;
    // The send time of the request is used, because the response may have been in transit for any time.
    TimePoint sentAt = request->second.sentAt;
    responsesReceived_ += request->second.countsForHealth ? 1 : 0;
    pending_.erase(request);
    for (std::size_t index = 0; index < message.slots.size(); ++index) {
        const std::optional<SlotReport>& report = message.slots[index];
        if (report && settings_.slots[index] != settings_.self)
            merge(settings_.slots[index], *report, sentAt - report->age);
    }
}

void Membership::merge(const std::string& slot, const SlotReport& report, TimePoint asOf)
{
    auto known = contacts_.find(slot);
    if (known != contacts_.end() && known->second.asOf >= asOf)
        return;
    contacts_[slot] = { report, asOf };
    hooks_.onDigest(slot, report.digest, asOf);
}

std::vector<std::optional<SlotReport>> Membership::ageVector() const
{
    std::vector<std::optional<SlotReport>> vector;
    for (const std::string& slot : settings_.slots) {
        auto contact = contacts_.find(slot);
        if (slot == settings_.self) {
            vector.push_back(SlotReport { settings_.incarnation, {}, isDraining_, digest_ });
        } else if (contact != contacts_.end()) {
            SlotReport report = contact->second.report;
            report.age = std::chrono::ceil<std::chrono::milliseconds>(clock_.now() - contact->second.asOf);
            vector.emplace_back(report);
        } else {
            vector.emplace_back(std::nullopt);
        }
    }
    return vector;
}

void Membership::observeInstanceList(const std::vector<InstanceRecord>& instances)
{
    std::set<std::string> live;
    for (const InstanceRecord& instance : instances) {
        if (instance.role == InstanceRole::Entry && instance.state == InstanceState::Live)
            live.insert(instance.name);
        everListed_.insert(instance.name);
    }
    removed_.clear();
    // A name that was never listed may belong to an instance that the list does not show yet, so only
    // names that were listed before are removed.
    std::set_difference(everListed_.begin(), everListed_.end(), live.begin(), live.end(), std::inserter(removed_, removed_.end()));
}

void Membership::setDigest(std::string digest)
{
    if (digest.size() > maxDigestBytes)
        throw Error(ResultCode::Internal, "gossip digest of " + std::to_string(digest.size()) + " bytes exceeds " + std::to_string(maxDigestBytes));
    digest_ = std::move(digest);
}

PeerStatus Membership::status(const std::string& slot) const
{
    PeerStatus status;
    status.slot = slot;
    status.isRemoved = removed_.count(slot) > 0;
    if (slot == settings_.self) {
        status.state = PeerState::Alive;
        status.incarnation = settings_.incarnation;
        status.isDraining = isDraining_;
        status.age = Duration::zero();
        return status;
    }
    auto contact = contacts_.find(slot);
    if (contact == contacts_.end())
        return status;
    status.age = clock_.now() - contact->second.asOf;
    status.state = status.age > health_.extendTimeout(settings_.limits.suspicionTimeout) ? PeerState::Suspected : PeerState::Alive;
    status.incarnation = contact->second.report.incarnation;
    status.isDraining = contact->second.report.isDraining;
    return status;
}

std::vector<std::string> Membership::slotsForCallers() const
{
    std::vector<std::string> slots;
    for (const std::string& slot : settings_.slots) {
        PeerStatus peer = status(slot);
        if (peer.state == PeerState::Alive && !peer.isDraining && !peer.isRemoved)
            slots.push_back(slot);
    }
    return slots;
}

}

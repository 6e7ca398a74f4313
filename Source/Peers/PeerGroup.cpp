#include "Peers/PeerGroup.h"

#include "Core/Error.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace Damaskgrade {

PeerGroup::PeerGroup(EventLoop& loop, const Clock& clock, Random& random, PeerGroupSettings settings, PeerGroupHooks hooks)
    : loop_(loop)
    , clock_(clock)
    , random_(random)
    , settings_(std::move(settings))
    , hooks_(std::move(hooks))
    , hybridClock_(clock)
{
    ProcessLinkHooks linkHooks;
    linkHooks.onOpen = [this](const std::string& name) {
        openedAt_[name] = clock_.now();
        EntryStateMessage state = hooks_.localState();
        state.name = settings_.name;
        state.link = settings_.link;
        send(name, encodeMessage(state, hybridClock_.tick()));
    };
    linkHooks.onFrame = [](const std::string&, const Frame&) {};
    linkHooks.onClose = [](const std::string&) {};
    links_ = std::make_unique<LinkDirectory>(loop_, random_, settings_.keys, linkHooks);
    LinkHandlers handlers;
    handlers.onOpen = [](const std::shared_ptr<LinkSession>&) {};
    handlers.onFrame = [this](const std::shared_ptr<LinkSession>&, const Frame& frame) { receive(frame); };
    handlers.onClose = [](const std::shared_ptr<LinkSession>&) {};
    server_ = std::make_unique<LinkServer>(loop_, settings_.link, settings_.keys, handlers);
    timer_ = loop_.every(settings_.statePeriod, [this] { tick(); });
}

PeerGroup::~PeerGroup() = default;

void PeerGroup::addAddress(const std::string& name, const Endpoint& link)
{
    if (name == settings_.name || link == settings_.link)
        return;
    // Remove an older name of the same address: an instance that replaces another at its address has a new name.
    for (auto entry = addresses_.begin(); entry != addresses_.end();) {
        bool isOldName = entry->second == link && entry->first != name && peers_.count(entry->first) == 0;
        entry = isOldName ? addresses_.erase(entry) : std::next(entry);
    }
    auto found = addresses_.find(name);
    if (found != addresses_.end() && found->second == link)
        return;
    bool isKnownByOtherName = std::any_of(addresses_.begin(), addresses_.end(), [&link](const auto& entry) { return entry.second == link; });
    if (isKnownByOtherName)
        return;
    addresses_[name] = link;
    addressAddedAt_[name] = clock_.now();
    updateTargets();
}

std::vector<EntryStateMessage> PeerGroup::alive() const
{
    std::vector<EntryStateMessage> states;
    for (const auto& [name, peer] : peers_) {
        if (isAlive(peer))
            states.push_back(peer.state);
    }
    return states;
}

bool PeerGroup::isAlive(const Peer& peer) const
{
    return peer.isAlive && clock_.now() - peer.lastSeen <= settings_.suspectAfter;
}

std::size_t PeerGroup::aliveCount() const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [this](const auto& entry) { return isAlive(entry.second); }));
}

std::vector<std::string> PeerGroup::knownNames() const
{
    std::vector<std::string> names;
    names.reserve(peers_.size());
    for (const auto& [name, peer] : peers_)
        names.push_back(name);
    return names;
}

void PeerGroup::sendCatalog(const std::string& peer, const std::string& text)
{
    send(peer, encodeMessage(CatalogTextMessage { text }, hybridClock_.tick()));
}

void PeerGroup::sendFleet(const std::string& peer, const FleetMessage& message)
{
    send(peer, encodeMessage(message, hybridClock_.tick()));
}

void PeerGroup::sendState(bool includeAllCounts)
{
    if (addresses_.empty())
        return;
    EntryStateMessage state = hooks_.localState();
    state.name = settings_.name;
    state.link = settings_.link;
    Frame frame = encodeMessage(state, hybridClock_.tick());
    state.inFlight.reset();
    Frame frameWithoutCounts = encodeMessage(state, hybridClock_.tick());
    std::size_t skipped = 0;
    for (const auto& [name, endpoint] : addresses_) {
        std::size_t left = addresses_.size() - skipped;
        bool isSkipped = addresses_.size() > settings_.maxPeersPerPeriod && random_.index(addresses_.size()) >= settings_.maxPeersPerPeriod && left > 1;
        if (isSkipped)
            ++skipped;
        else
            send(name, includeAllCounts || !isInOtherZone(name) ? frame : frameWithoutCounts);
    }
}

// Returns false for an address from which no state was received yet.
bool PeerGroup::isInOtherZone(const std::string& name) const
{
    auto peer = peers_.find(name);
    return peer != peers_.end() && peer->second.state.availabilityZone != settings_.availabilityZone;
}

std::size_t PeerGroup::knownCountIn(std::string_view availabilityZone) const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [availabilityZone](const auto& entry) { return entry.second.state.availabilityZone == availabilityZone; }));
}

void PeerGroup::tick()
{
    TimePoint now = clock_.now();
    bool isChanged = false;
    for (auto entry = peers_.begin(); entry != peers_.end();) {
        Peer& peer = entry->second;
        Duration silence = now - peer.lastSeen;
        if (peer.isAlive && silence > settings_.suspectAfter) {
            peer.isAlive = false;
            hooks_.onPeerChange(entry->first, false);
        }
        bool isExpired = silence > settings_.expireAfter;
        if (isExpired) {
            addresses_.erase(entry->first);
            isChanged = true;
        }
        entry = isExpired ? peers_.erase(entry) : std::next(entry);
    }
    // Remove addresses from which no state was ever received, for example from an outdated settings file.
    for (auto entry = addresses_.begin(); entry != addresses_.end();) {
        bool isStale = peers_.count(entry->first) == 0 && now - addressAddedAt_[entry->first] > settings_.expireAfter;
        isChanged = isChanged || isStale;
        entry = isStale ? addresses_.erase(entry) : std::next(entry);
    }
    // A connection can stop delivering data without a reset. Messages from a peer arrive over the link that the peer
    // opened, so its silence does not show which of the two links is broken. Reopen the link to the peer as well.
    std::map<std::string, Endpoint> targets = addresses_;
    for (const auto& [name, endpoint] : addresses_) {
        auto peer = peers_.find(name);
        auto opened = openedAt_.find(name);
        bool isSilent = peer != peers_.end() && now - peer->second.lastSeen > settings_.reopenAfter;
        if (isSilent && opened != openedAt_.end() && now - opened->second > settings_.reopenAfter && links_->isOpen(name)) {
            targets.erase(name);
            openedAt_.erase(opened);
        }
    }
    if (targets.size() != addresses_.size() || isChanged) {
        links_->setTargets(targets);
        updateTargets();
    }
    sendState(periods_++ % settings_.remoteCountsInterval == 0);
}

void PeerGroup::receive(const Frame& frame)
{
    hybridClock_.observe(frame.time);
    try {
        if (frame.type == EntryStateMessage::type)
            receiveState(decodeEntryState(frame.body));
        else if (frame.type == CatalogTextMessage::type)
            hooks_.onCatalogText(decodeCatalogText(frame.body).text);
        else if (frame.type == FleetMessage::type)
            hooks_.onFleet(decodeFleet(frame.body));
    } catch (const Error& error) {
        LOG(WARNING) << "rejected a frame from a peer: " << error.what();
    }
}

void PeerGroup::receiveState(EntryStateMessage state)
{
    if (state.name == settings_.name)
        return;
    std::string name = state.name;
    Peer& peer = peers_[name];
    // A frame from an earlier incarnation of the peer can arrive after the first one of the current incarnation.
    if (state.incarnation < peer.state.incarnation)
        return;
    auto address = addresses_.find(name);
    if (address == addresses_.end() || !(address->second == state.link)) {
        for (auto entry = addresses_.begin(); entry != addresses_.end();)
            entry = entry->second == state.link || entry->first == name ? addresses_.erase(entry) : std::next(entry);
        addresses_[name] = state.link;
        addressAddedAt_[name] = clock_.now();
        updateTargets();
    }
    // The link to a peer that was restarted or cut off may be broken without a reset, or wait for its next attempt to connect.
    bool wasKnown = peer.lastSeen != TimePoint();
    bool hasReturned = wasKnown && (!peer.isAlive || state.incarnation != peer.state.incarnation);
    peer.state = std::move(state);
    peer.lastSeen = clock_.now();
    if (hasReturned)
        reopenLink(name);
    if (!peer.isAlive) {
        peer.isAlive = true;
        hooks_.onPeerChange(name, true);
    }
    hooks_.onState(peer.state);
}

void PeerGroup::updateTargets()
{
    links_->setTargets(addresses_);
}

void PeerGroup::reopenLink(const std::string& peer)
{
    std::map<std::string, Endpoint> others = addresses_;
    others.erase(peer);
    openedAt_.erase(peer);
    links_->setTargets(others);
    updateTargets();
}

bool PeerGroup::send(const std::string& peer, const Frame& frame)
{
    return links_->send(peer, frame);
}

}

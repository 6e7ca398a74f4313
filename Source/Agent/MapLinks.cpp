#include "Agent/MapLinks.h"

#include "MapSwitch/ExpertLoadMessages.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

// MapAgent::tick() reads the state of the engine and requests votes if the engine is blocked at a map switch.
constexpr std::chrono::milliseconds tickPeriod { 100 };
// Period for updating the link addresses. A replaced member is linked again within this time.
constexpr std::chrono::milliseconds linkPeriod { 1000 };
// Longer than several request periods, so that a few lost requests don't make the skew unknown.
constexpr std::chrono::seconds skewLifetime { 30 };

}

MapLinks::MapLinks(EventLoop& loop, const Clock& clock, Random& random, HybridClock& hybridClock, const AgentSettings& settings,
    const HelloMessage& self, EngineClient& engine, SendToEntry sendToEntry)
    : clock_(clock)
    , hybridClock_(hybridClock)
    , settings_(settings)
    , self_(self)
    , engine_(engine)
    , sendToEntry_(std::move(sendToEntry))
    , table_(loop, settings.platform, settings.platformTimeout)
    , instances_(loop, settings.platform, settings.platformTimeout)
    , mapEngine_(engine)
    , agents_(loop, random, settings.linkKeys, directoryHooks())
    , mapAgent_(agentSettings(settings), clock, table_, mapEngine_, agentHooks())
    , tickTimer_(loop.every(tickPeriod, [this] { mapAgent_.tick(); }))
    , linkTimer_(loop.every(linkPeriod, [this] { updateLinks(); }))
{
    updateLinks();
}

MapAgentSettings MapLinks::agentSettings(const AgentSettings& settings) const
{
    MapAgentSettings result;
    result.name = settings.name;
    result.group = settings.group;
    result.members = settings.groupMembers;
    return result;
}

MapAgentHooks MapLinks::agentHooks()
{
    MapAgentHooks hooks;
    hooks.sendResult = [this](const std::string& controller, const MapOrderResultMessage& result) {
        sendToEntry_(controller, encodeMessage(result, hybridClock_.tick()));
    };
    hooks.sendVoteRequest = [this](const std::string& agent, const VoteRequestMessage& request) {
        agents_.send(agent, encodeMessage(request, hybridClock_.tick()));
    };
    hooks.sendVoteResponse = [this](const std::string& agent, const VoteResponseMessage& response) {
        agents_.send(agent, encodeMessage(response, hybridClock_.tick()));
    };
    return hooks;
}

ProcessLinkHooks MapLinks::directoryHooks()
{
    ProcessLinkHooks hooks;
    hooks.onOpen = [this](const std::string& agent) { agents_.send(agent, encodeMessage(self_, hybridClock_.tick())); };
    // Each agent sends over the links that it opened and receives over the links that other agents opened.
    hooks.onFrame = [](const std::string&, const Frame&) {};
    hooks.onClose = [](const std::string&) {};
    return hooks;
}

bool MapLinks::receive(const std::string& from, const Frame& frame)
{
    if (frame.type == MapOrderMessage::type)
        mapAgent_.receive(decodeMapOrder(frame.body));
    else if (frame.type == VoteRequestMessage::type)
        mapAgent_.receive(decodeVoteRequest(frame.body));
    else if (frame.type == VoteResponseMessage::type)
        mapAgent_.receive(decodeVoteResponse(frame.body));
    else if (frame.type == ExpertLoadRequestMessage::type)
        receiveLoadRequest(from, decodeExpertLoadRequest(frame.body));
    else
        return false;
    return true;
}

// The members come from the settings, because the instance list lags: a member that is missing from the list
// must still vote. The list provides only the addresses. If it can't be fetched, the current links are kept.
void MapLinks::updateLinks()
{
    instances_.fetch([this](ResultCode code, const std::vector<InstanceRecord>& instances) {
        if (code != ResultCode::Ok)
            return;
        std::map<std::string, Endpoint> targets;
        for (const InstanceRecord& record : instances) {
            const std::vector<std::string>& members = settings_.groupMembers;
            bool isMember = std::find(members.begin(), members.end(), record.name) != members.end();
            if (isMember && record.name != settings_.name)
                targets[record.name] = record.link;
        }
        agents_.setTargets(targets);
    });
}

double MapLinks::groupSkew() const
{
    return clock_.now() - skewReceivedAt_ < skewLifetime ? skew_ : 1;
}

void MapLinks::receiveLoadRequest(const std::string& entry, const ExpertLoadRequestMessage& request)
{
    skew_ = request.skew;
    skewReceivedAt_ = clock_.now();
    reportExpertLoad(entry);
}

void MapLinks::reportExpertLoad(const std::string& entry)
{
    engine_.fetchExpertLoad([this, entry](const std::optional<ExpertLoadMessage>& load) {
        if (!load)
            return;
        ExpertLoadMessage message = *load;
        message.group = settings_.group;
        message.agent = settings_.name;
        sendToEntry_(entry, encodeMessage(message, hybridClock_.tick()));
    });
}

}

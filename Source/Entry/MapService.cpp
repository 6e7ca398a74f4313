#include "Entry/MapService.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

Json groupJson(const std::string& name, const MapGroup& group)
{
    const MapController& controller = group.controller();
    Json json;
    json["group"] = name;
    json["holder"] = controller.holder();
    json["holds_lease"] = controller.holdsLease();
    json["map_version"] = controller.versionInForce();
    json["target_version"] = controller.targetVersion();
    json["skew"] = group.skew();
    json["switches"] = controller.counters().switches;
    json["aborts"] = controller.counters().aborts;
    json["recoveries"] = controller.counters().recoveries;
    return json;
}

}

MapService::MapService(const Clock& clock, Random& random, HybridClock& hybridClock, Table& table, EventRecorder& events, std::string name, Send send)
    : clock_(clock)
    , random_(random)
    , hybridClock_(hybridClock)
    , table_(table)
    , events_(events)
    , name_(std::move(name))
    , send_(std::move(send))
{
}

void MapService::apply(const Document& document)
{
    document_ = document;
    modelOfGroup_.clear();
    for (const auto& [name, model] : document.models) {
        for (const std::string& group : model.groups)
            modelOfGroup_[group] = name;
    }
    for (auto current = groups_.begin(); current != groups_.end();)
        current = modelOfGroup_.count(current->first) == 0 ? groups_.erase(current) : std::next(current);
    for (const auto& [group, members] : members_)
        update(group);
}

void MapService::agentConnected(const HelloMessage& hello)
{
    if (hello.groupMembers.empty())
        return;
    std::vector<std::string> members = hello.groupMembers;
    std::sort(members.begin(), members.end());
    std::vector<std::string>& known = members_[hello.group];
    // A map change requires the votes of all members, so the member list identifies the group. A different
    // list means that the group was recreated.
    if (known != members) {
        known = members;
        groups_.erase(hello.group);
    }
    update(hello.group);
}

void MapService::update(const std::string& group)
{
    auto modelName = modelOfGroup_.find(group);
    if (modelName == modelOfGroup_.end())
        return;
    std::unique_ptr<MapGroup>& state = groups_[group];
    if (!state) {
        MapControllerSettings settings;
        settings.name = name_;
        settings.group = group;
        settings.members = members_[group];
        state = std::make_unique<MapGroup>(settings, clock_, table_, random_, events_, groupHooks());
    }
    auto modelSettings = document_.placementOfModel.find(modelName->second);
    bool hasModelSettings = modelSettings != document_.placementOfModel.end();
    state->configure(document_.models[modelName->second], hasModelSettings ? modelSettings->second : document_.placement);
}

MapGroupHooks MapService::groupHooks()
{
    MapGroupHooks hooks;
    hooks.sendOrder = [this](const std::string& agent, const MapOrderMessage& order) { send_(agent, encodeMessage(order, hybridClock_.tick())); };
    hooks.sendLoadRequest = [this](const std::string& agent, const ExpertLoadRequestMessage& request) {
        send_(agent, encodeMessage(request, hybridClock_.tick()));
    };
    return hooks;
}

bool MapService::receive(const Frame& frame)
{
    if (frame.type == MapOrderResultMessage::type) {
        MapOrderResultMessage result = decodeMapOrderResult(frame.body);
        auto group = groups_.find(result.group);
        if (group != groups_.end())
            group->second->receive(result);
    } else if (frame.type == ExpertLoadMessage::type) {
        ExpertLoadMessage load = decodeExpertLoad(frame.body);
        auto group = groups_.find(load.group);
        if (group != groups_.end())
            group->second->receive(load);
    } else {
        return false;
    }
    return true;
}

void MapService::tick()
{
    for (const auto& [name, group] : groups_)
        group->tick();
}

std::string MapService::statusJson() const
{
    Json list = Json::array();
    for (const auto& [name, group] : groups_)
        list.push_back(groupJson(name, *group));
    return list.dump();
}

void MapService::addMetrics(MetricsPage& page) const
{
    for (const auto& [name, group] : groups_) {
        MetricLabels labels { { "group", name } };
        const MapController& controller = group->controller();
        page.addGauge("damaskgrade_group_lease_held", "Whether this entry holds the lease of the group", controller.holdsLease() ? 1 : 0, labels);
        page.addGauge("damaskgrade_group_skew", "Expected step-time skew between the ranks of the group", group->skew(), labels);
        page.addCounter("damaskgrade_map_bytes_moved_total", "Bytes of experts moved by map changes", static_cast<double>(group->bytesMoved()), labels);
        page.addCounter("damaskgrade_map_switches_total", "Expert map changes", static_cast<double>(controller.counters().switches), labels);
        page.addCounter("damaskgrade_map_aborts_total", "Expert map changes that were refused", static_cast<double>(controller.counters().aborts), labels);
        page.addCounter("damaskgrade_map_recoveries_total", "Recoveries of the group", static_cast<double>(controller.counters().recoveries), labels);
    }
}

}

#include "MapSwitch/GroupRow.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

namespace Damaskgrade {

using Json = nlohmann::json;

std::string groupRowKey(const std::string& group)
{
    return "group/" + group;
}

std::string groupMapKey(const std::string& group, MapVersion version)
{
    return "groupMap/" + group + "/" + std::to_string(version);
}

std::string encodeGroupRow(const GroupRow& row)
{
    Json json = { { "holder", row.holder }, { "renewals", row.renewals }, { "writeId", row.writeId },
        { "token", row.lastEpoch.token }, { "sequence", row.lastEpoch.sequence },
        { "lastVersion", row.lastVersion }, { "inForce", row.inForce }, { "target", row.target } };
    return json.dump();
}

GroupRow decodeGroupRow(const std::string& text)
{
    try {
        Json json = Json::parse(text);
        GroupRow row;
        row.holder = json.at("holder").get<std::string>();
        row.renewals = json.at("renewals").get<std::uint64_t>();
        row.writeId = json.at("writeId").get<std::string>();
        row.lastEpoch = { json.at("token").get<std::uint64_t>(), json.at("sequence").get<std::uint64_t>() };
        row.lastVersion = json.at("lastVersion").get<MapVersion>();
        row.inForce = json.at("inForce").get<MapVersion>();
        row.target = json.at("target").get<MapVersion>();
        return row;
    } catch (const Json::exception& failure) {
        throw Error(ResultCode::BadFrame, std::string("group row can't be decoded: ") + failure.what());
    }
}

}

#include "Platform/InstanceList.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

InstanceRecord decodeInstance(const Json& json)
{
    InstanceRecord record;
    record.name = json.at("name").get<std::string>();
    record.role = json.at("role") == "entry" ? InstanceRole::Entry : InstanceRole::BackendServer;
    record.state = json.at("state") == "live" ? InstanceState::Live : InstanceState::Draining;
    record.availabilityZone = json.at("availabilityZone").get<std::string>();
    record.serves = json.value("serves", "");
    record.link = parseEndpoint(json.at("link").get<std::string>());
    if (json.contains("callers"))
        record.callers = parseEndpoint(json.at("callers").get<std::string>());
    return record;
}

}

std::string encodeInstances(const std::vector<InstanceRecord>& instances)
{
    Json list = Json::array();
    for (const InstanceRecord& record : instances) {
        Json json;
        json["name"] = record.name;
        json["role"] = record.role == InstanceRole::Entry ? "entry" : "backendServer";
        json["state"] = record.state == InstanceState::Live ? "live" : "draining";
        json["availabilityZone"] = record.availabilityZone;
        json["serves"] = record.serves;
        json["link"] = formatEndpoint(record.link);
        if (record.callers.port != 0)
            json["callers"] = formatEndpoint(record.callers);
        list.push_back(json);
    }
    return Json { { "instances", list } }.dump();
}

std::vector<InstanceRecord> decodeInstances(std::string_view text)
{
    try {
        std::vector<InstanceRecord> instances;
        Json document = Json::parse(text);
        for (const Json& json : document.at("instances"))
            instances.push_back(decodeInstance(json));
        return instances;
    } catch (const Json::exception& failure) {
        throw Error(ResultCode::MalformedRequest, std::string("instance list can't be decoded: ") + failure.what());
    }
}

}

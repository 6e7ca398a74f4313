#include "RankMaps/RankMessages.h"

#include "Transport/CborBody.h"

#include <algorithm>
#include <cmath>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

constexpr double largestRoot = 255;

Json reportToJson(const RankReport& report)
{
    Json json = { { "g", report.group }, { "r", report.rank }, { "n", report.groupSize }, { "e", report.epoch }, { "o", report.isOpen }, { "p", report.pass },
        { "m", report.mapVersion }, { "c", report.pace }, { "q", report.running } };
    if (report.prepared)
        json["x"] = *report.prepared;
    if (report.armed)
        json["a"] = Json::array({ report.armed->version, report.armed->pass });
    if (report.heldPass)
        json["h"] = *report.heldPass;
    if (report.highestArmOrderPass)
        json["t"] = *report.highestArmOrderPass;
    return json;
}

RankReport reportFromJson(const Json& json)
{
    RankReport report;
    report.group = json.at("g").get<std::string>();
    report.rank = json.at("r").get<std::uint32_t>();
    report.groupSize = json.at("n").get<std::uint32_t>();
    report.epoch = json.at("e").get<std::uint64_t>();
    report.isOpen = json.at("o").get<bool>();
    report.pass = json.at("p").get<std::uint64_t>();
    report.mapVersion = json.at("m").get<RankMapVersion>();
    report.pace = json.at("c").get<double>();
    report.running = json.at("q").get<std::uint32_t>();
    if (json.contains("x"))
        report.prepared = json.at("x").get<RankMapVersion>();
    if (json.contains("a"))
        report.armed = ArmedMap { json.at("a").at(0).get<RankMapVersion>(), json.at("a").at(1).get<std::uint64_t>() };
    if (json.contains("h"))
        report.heldPass = json.at("h").get<std::uint64_t>();
    if (json.contains("t"))
        report.highestArmOrderPass = json.at("t").get<std::uint64_t>();
    return report;
}

Json endpointsToJson(const std::vector<Endpoint>& endpoints)
{
    Json json = Json::array();
    for (const Endpoint& endpoint : endpoints)
        json.push_back(formatEndpoint(endpoint));
    return json;
}

std::vector<Endpoint> endpointsFromJson(const Json& json)
{
    std::vector<Endpoint> endpoints;
    for (const Json& endpoint : json)
        endpoints.push_back(parseEndpoint(endpoint.get<std::string>()));
    return endpoints;
}

}

Bytes encodeMap(const GroupMap& map)
{
    return Json::to_cbor(Json(map));
}

GroupMap decodeMap(ByteView bytes)
{
    return decodeBody("map", bytes, [](const Json& json) { return json.get<GroupMap>(); });
}

Bytes encodeDifferences(const std::vector<MapDifference>& differences)
{
    Json json = Json::array();
    for (const MapDifference& difference : differences)
        json.push_back(Json::array({ difference.set, difference.rank, difference.experts }));
    return Json::to_cbor(json);
}

std::vector<MapDifference> decodeDifferences(ByteView bytes)
{
    return decodeBody("map difference", bytes, [](const Json& json) {
        std::vector<MapDifference> differences;
        for (const Json& difference : json)
            differences.push_back({ difference.at(0).get<std::uint32_t>(), difference.at(1).get<std::uint32_t>(), difference.at(2).get<std::vector<std::uint32_t>>() });
        return differences;
    });
}

RankCounts packCounts(std::uint64_t round, const CountSum& sum)
{
    RankCounts message;
    message.round = round;
    message.ranks = sum.ranks;
    double largest = sum.counts.empty() ? 0 : *std::max_element(sum.counts.begin(), sum.counts.end());
    message.unit = std::max(1.0, largest) / (largestRoot * largestRoot);
    message.roots.reserve(sum.counts.size());
    for (double count : sum.counts)
        message.roots.push_back(static_cast<std::uint8_t>(std::round(std::sqrt(std::max(0.0, count) / message.unit))));
    return message;
}

CountSum unpackCounts(const RankCounts& message)
{
    CountSum sum;
    sum.ranks = message.ranks;
    sum.counts.reserve(message.roots.size());
    for (std::uint8_t root : message.roots)
        sum.counts.push_back(message.unit * root * root);
    return sum;
}

Frame encodeMessage(const RankStatusRequest& message, HybridTime time)
{
    return makeFrame(RankStatusRequest::type, time, { { "g", message.group }, { "t", message.term }, { "c", message.controller }, { "l", message.includeLists } });
}

Frame encodeMessage(const RankStatus& message, HybridTime time)
{
    Json json = { { "t", message.term }, { "a", message.agent }, { "e", formatEndpoint(message.engine) } };
    if (message.report)
        json["r"] = reportToJson(*message.report);
    if (message.lists) {
        json["lv"] = message.lists->version;
        json["l"] = message.lists->experts;
    }
    return makeFrame(RankStatus::type, time, json);
}

Frame encodeMessage(const RankOrderMessage& message, HybridTime time)
{
    const RankOrder& order = message.order;
    Json json = { { "g", message.group }, { "t", message.term }, { "c", message.controller }, { "k", static_cast<int>(order.kind) }, { "f", order.fencingToken }, { "e", order.epoch },
        { "v", order.version }, { "p", order.pass } };
    if (message.baseVersion)
        json["b"] = *message.baseVersion;
    if (!message.encodedMap.empty())
        json["m"] = Json::binary(message.encodedMap);
    if (!message.receivers.empty())
        json["w"] = endpointsToJson(message.receivers);
    return makeFrame(RankOrderMessage::type, time, json);
}

Frame encodeMessage(const RankOrderResultMessage& message, HybridTime time)
{
    return makeFrame(RankOrderResultMessage::type, time,
        { { "t", message.term }, { "a", message.agent }, { "k", static_cast<int>(message.kind) }, { "v", message.version }, { "p", message.pass },
            { "r", static_cast<int>(message.result) } });
}

Frame encodeMessage(const RankCountsRequest& message, HybridTime time)
{
    return makeFrame(RankCountsRequest::type, time,
        { { "g", message.group }, { "t", message.term }, { "c", message.controller }, { "n", message.round }, { "d", message.wait.count() }, { "w", endpointsToJson(message.receivers) } });
}

Frame encodeMessage(const RankCounts& message, HybridTime time)
{
    return makeFrame(RankCounts::type, time, { { "n", message.round }, { "r", message.ranks }, { "u", message.unit }, { "k", Json::binary(message.roots) } });
}

Frame encodeMessage(const ControllerQuestion& message, HybridTime time)
{
    return makeFrame(ControllerQuestion::type, time, { { "g", message.group } });
}

Frame encodeMessage(const ControllerAnswer& message, HybridTime time)
{
    return makeFrame(ControllerAnswer::type, time, { { "g", message.group }, { "t", message.term } });
}

RankStatusRequest decodeRankStatusRequest(ByteView body)
{
    return decodeBody(RankStatusRequest::type, body, [](const Json& json) {
        return RankStatusRequest { json.at("g").get<std::string>(), json.at("t").get<std::uint64_t>(), json.at("c").get<std::string>(), json.at("l").get<bool>() };
    });
}

RankStatus decodeRankStatus(ByteView body)
{
    return decodeBody(RankStatus::type, body, [](const Json& json) {
        RankStatus message;
        message.term = json.at("t").get<std::uint64_t>();
        message.agent = json.at("a").get<std::string>();
        message.engine = parseEndpoint(json.at("e").get<std::string>());
        if (json.contains("r"))
            message.report = reportFromJson(json.at("r"));
        if (json.contains("l"))
            message.lists = RankLists { json.at("lv").get<RankMapVersion>(), json.at("l").get<RankExperts>() };
        return message;
    });
}

RankOrderMessage decodeRankOrder(ByteView body)
{
    return decodeBody(RankOrderMessage::type, body, [](const Json& json) {
        RankOrderMessage message;
        message.group = json.at("g").get<std::string>();
        message.term = json.at("t").get<std::uint64_t>();
        message.controller = json.at("c").get<std::string>();
        message.order.kind = enumerationFromJson(json.at("k"), RankOrderKind::Disarm);
        message.order.fencingToken = json.at("f").get<std::uint64_t>();
        message.order.epoch = json.at("e").get<std::uint64_t>();
        message.order.version = json.at("v").get<RankMapVersion>();
        message.order.pass = json.at("p").get<std::uint64_t>();
        if (json.contains("b"))
            message.baseVersion = json.at("b").get<RankMapVersion>();
        if (json.contains("m"))
            message.encodedMap = json.at("m").get_binary();
        if (json.contains("w"))
            message.receivers = endpointsFromJson(json.at("w"));
        return message;
    });
}

RankOrderResultMessage decodeRankOrderResult(ByteView body)
{
    return decodeBody(RankOrderResultMessage::type, body, [](const Json& json) {
        RankOrderResultMessage message;
        message.term = json.at("t").get<std::uint64_t>();
        message.agent = json.at("a").get<std::string>();
        message.kind = enumerationFromJson(json.at("k"), RankOrderKind::Disarm);
        message.version = json.at("v").get<RankMapVersion>();
        message.pass = json.at("p").get<std::uint64_t>();
        message.result = enumerationFromJson(json.at("r"), RankOrderResult::BaseMissing);
        return message;
    });
}

RankCountsRequest decodeRankCountsRequest(ByteView body)
{
    return decodeBody(RankCountsRequest::type, body, [](const Json& json) {
        RankCountsRequest message;
        message.group = json.at("g").get<std::string>();
        message.term = json.at("t").get<std::uint64_t>();
        message.controller = json.at("c").get<std::string>();
        message.round = json.at("n").get<std::uint64_t>();
        message.wait = std::chrono::milliseconds(json.at("d").get<std::int64_t>());
        message.receivers = endpointsFromJson(json.at("w"));
        return message;
    });
}

RankCounts decodeRankCounts(ByteView body)
{
    return decodeBody(RankCounts::type, body, [](const Json& json) {
        return RankCounts { json.at("n").get<std::uint64_t>(), json.at("r").get<std::uint32_t>(), json.at("u").get<double>(), json.at("k").get_binary() };
    });
}

ControllerQuestion decodeControllerQuestion(ByteView body)
{
    return decodeBody(ControllerQuestion::type, body, [](const Json& json) { return ControllerQuestion { json.at("g").get<std::string>() }; });
}

ControllerAnswer decodeControllerAnswer(ByteView body)
{
    return decodeBody(ControllerAnswer::type, body, [](const Json& json) { return ControllerAnswer { json.at("g").get<std::string>(), json.at("t").get<std::uint64_t>() }; });
}

}

#include "RankMaps/RankMessages.h"

#include "Transport/CborBody.h"

#include <algorithm>
#include <cmath>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

constexpr double largestCount = 65535;

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

Bytes countBytes(const std::vector<std::uint16_t>& counts)
{
    Bytes bytes;
    bytes.reserve(counts.size() * 2);
    for (std::uint16_t count : counts) {
        bytes.push_back(static_cast<std::uint8_t>(count & 0xff));
        bytes.push_back(static_cast<std::uint8_t>(count >> 8));
    }
    return bytes;
}

std::vector<std::uint16_t> countsFromBytes(const Bytes& bytes)
{
    std::vector<std::uint16_t> counts;
    counts.reserve(bytes.size() / 2);
    for (std::size_t i = 0; i + 1 < bytes.size(); i += 2)
        counts.push_back(static_cast<std::uint16_t>(bytes[i] | bytes[i + 1] << 8));
    return counts;
}

}

void packCounts(const std::vector<double>& counts, RankStatus& status)
{
    double largest = counts.empty() ? 0 : *std::max_element(counts.begin(), counts.end());
    status.countUnit = std::max(1.0, largest / largestCount);
    status.counts.clear();
    for (double count : counts)
        status.counts.push_back(static_cast<std::uint16_t>(std::min(largestCount, std::round(std::max(0.0, count) / status.countUnit))));
}

Frame encodeMessage(const RankStatusRequest& message, HybridTime time)
{
    return makeFrame(RankStatusRequest::type, time, { { "g", message.group }, { "t", message.term }, { "c", message.controller }, { "k", message.includeCounts }, { "l", message.includeLists } });
}

Frame encodeMessage(const RankStatus& message, HybridTime time)
{
    Json json = { { "t", message.term }, { "a", message.agent }, { "e", formatEndpoint(message.engine) } };
    if (message.report)
        json["r"] = reportToJson(*message.report);
    if (!message.counts.empty()) {
        json["k"] = Json::binary(countBytes(message.counts));
        json["u"] = message.countUnit;
    }
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
    if (message.baseVersion) {
        json["b"] = *message.baseVersion;
        Json differences = Json::array();
        for (const MapDifference& difference : message.differences)
            differences.push_back(Json::array({ difference.set, difference.rank, difference.experts }));
        json["d"] = differences;
    } else if (order.map) {
        json["m"] = *order.map;
    }
    return makeFrame(RankOrderMessage::type, time, json);
}

Frame encodeMessage(const RankOrderResultMessage& message, HybridTime time)
{
    return makeFrame(RankOrderResultMessage::type, time,
        { { "t", message.term }, { "a", message.agent }, { "k", static_cast<int>(message.kind) }, { "v", message.version }, { "p", message.pass },
            { "r", static_cast<int>(message.result) } });
}

RankStatusRequest decodeRankStatusRequest(ByteView body)
{
    return decodeBody(RankStatusRequest::type, body, [](const Json& json) {
        return RankStatusRequest { json.at("g").get<std::string>(), json.at("t").get<std::uint64_t>(), json.at("c").get<std::string>(), json.at("k").get<bool>(), json.at("l").get<bool>() };
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
        if (json.contains("k")) {
            message.counts = countsFromBytes(json.at("k").get_binary());
            message.countUnit = json.at("u").get<double>();
        }
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
        if (json.contains("m"))
            message.order.map = std::make_shared<const GroupMap>(json.at("m").get<GroupMap>());
        if (json.contains("b")) {
            message.baseVersion = json.at("b").get<RankMapVersion>();
            for (const Json& difference : json.at("d"))
                message.differences.push_back({ difference.at(0).get<std::uint32_t>(), difference.at(1).get<std::uint32_t>(), difference.at(2).get<std::vector<std::uint32_t>>() });
        }
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

}

#include "Peers/PeerMessages.h"

#include "Transport/CborBody.h"

#include <xxhash.h>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

// Stands for a warm-up time that the registry does not state.
constexpr std::chrono::milliseconds notStated { -1 };

Json serverToJson(const ServerRecord& server)
{
    return Json::array({ server.id, server.service, formatEndpoint(server.address), server.availabilityZone, server.slots, server.isDraining,
        server.remainingWarmUp.value_or(notStated).count(), server.startedAt });
}

ServerRecord serverFromJson(const Json& json)
{
    ServerRecord server;
    server.id = json.at(0).get<std::string>();
    server.service = json.at(1).get<std::string>();
    server.address = parseEndpoint(json.at(2).get<std::string>());
    server.availabilityZone = json.at(3).get<std::string>();
    server.slots = json.at(4).get<std::uint32_t>();
    server.isDraining = json.at(5).get<bool>();
    std::chrono::milliseconds remainingWarmUp(json.at(6).get<std::int64_t>());
    if (remainingWarmUp != notStated)
        server.remainingWarmUp = remainingWarmUp;
    server.startedAt = json.at(7).get<std::int64_t>();
    return server;
}

// An age of -1 stands for a part that was not cleared.
Json suspectToJson(const SuspectReport& report)
{
    std::chrono::milliseconds clearedAge = report.clearedAge.value_or(std::chrono::milliseconds(-1));
    return Json::array({ report.part, report.crashes, report.wasSound, report.lastCrashAge.count(), clearedAge.count(), report.probeEntry, report.claimAge.count() });
}

SuspectReport suspectFromJson(const Json& json)
{
    SuspectReport report;
    report.part = json.at(0).get<PromptPart>();
    report.crashes = json.at(1).get<std::uint32_t>();
    report.wasSound = json.at(2).get<bool>();
    report.lastCrashAge = std::chrono::milliseconds(json.at(3).get<std::int64_t>());
    auto clearedAge = json.at(4).get<std::int64_t>();
    if (clearedAge >= 0)
        report.clearedAge = std::chrono::milliseconds(clearedAge);
    report.probeEntry = json.at(5).get<std::string>();
    report.claimAge = std::chrono::milliseconds(json.at(6).get<std::int64_t>());
    return report;
}

// Null if nothing is known.
Json evacuationsToJson(const EvacuationKnowledge& knowledge)
{
    return knowledge.isKnown ? Json::array({ knowledge.position.generation, knowledge.position.revision, knowledge.zones }) : Json();
}

EvacuationKnowledge evacuationsFromJson(const Json& json)
{
    if (json.is_null())
        return {};
    return { true, { json.at(0).get<StoreGeneration>(), json.at(1).get<std::uint64_t>() }, json.at(2).get<std::vector<std::string>>() };
}

// A time of -1 stands for an unknown one.
std::int64_t sourceTimeToNumber(const std::optional<SourceTime>& time)
{
    return time.value_or(SourceTime(-1)).count();
}

std::optional<SourceTime> sourceTimeFromNumber(std::int64_t number)
{
    return number < 0 ? std::nullopt : std::optional(SourceTime(number));
}

}

Frame encodeMessage(const EntryStateMessage& message, HybridTime time)
{
    Json counts;
    if (message.inFlight) {
        counts = Json::object();
        for (const auto& [server, count] : *message.inFlight)
            counts[server] = count;
    }
    Json suspects = Json::array();
    for (const SuspectReport& report : message.suspects)
        suspects.push_back(suspectToJson(report));
    Json rateLimits = Json::array();
    for (const RateLimitReport& report : message.rateLimits)
        rateLimits.push_back(Json::array({ report.serverId, report.version, report.perSecond, report.age.count() }));
    Json leaving = Json::array();
    for (const ServerStart& server : message.leavingServers)
        leaving.push_back(Json::array({ server.id, server.startedAt }));
    return makeFrame(EntryStateMessage::type, time,
        { { "n", message.name }, { "i", message.incarnation }, { "l", formatEndpoint(message.link) }, { "c", formatEndpoint(message.callers) },
            { "z", message.availabilityZone }, { "r", message.isReady }, { "d", message.isDraining }, { "v", message.catalog.version }, { "cg", message.catalog.generation },
            { "ct", sourceTimeToNumber(message.catalog.completeUntil) }, { "ca", sourceTimeToNumber(message.catalog.answeredAt) },
            { "fd", message.fleetDigest }, { "fg", message.fleetPosition.generation }, { "fr", message.fleetPosition.revision }, { "fa", message.fleetAge.count() }, { "f", counts }, { "s", suspects }, { "rl", rateLimits }, { "ls", leaving }, { "ev", evacuationsToJson(message.evacuations) } });
}

Frame encodeMessage(const CatalogTextMessage& message, HybridTime time)
{
    return makeFrame(CatalogTextMessage::type, time, { { "t", message.text } });
}

Frame encodeMessage(const FleetMessage& message, HybridTime time)
{
    Json servers = Json::array();
    for (const ServerRecord& server : message.snapshot.servers)
        servers.push_back(serverToJson(server));
    return makeFrame(FleetMessage::type, time, { { "g", message.snapshot.position.generation }, { "r", message.snapshot.position.revision }, { "a", message.age.count() }, { "s", servers } });
}

EntryStateMessage decodeEntryState(ByteView body)
{
    return decodeBody(EntryStateMessage::type, body, [](const Json& json) {
        EntryStateMessage message;
        message.name = json.at("n").get<std::string>();
        message.incarnation = json.at("i").get<std::uint64_t>();
        message.link = parseEndpoint(json.at("l").get<std::string>());
        message.callers = parseEndpoint(json.at("c").get<std::string>());
        message.availabilityZone = json.at("z").get<std::string>();
        message.isReady = json.at("r").get<bool>();
        message.isDraining = json.at("d").get<bool>();
        message.catalog.version = json.at("v").get<std::uint64_t>();
        message.catalog.generation = json.value("cg", StoreGeneration { 0 });
        message.catalog.completeUntil = sourceTimeFromNumber(json.value("ct", std::int64_t { -1 }));
        message.catalog.answeredAt = sourceTimeFromNumber(json.value("ca", std::int64_t { -1 }));
        message.fleetDigest = json.at("fd").get<std::uint64_t>();
        message.fleetPosition = { json.value("fg", StoreGeneration { 0 }), json.at("fr").get<std::uint64_t>() };
        message.fleetAge = std::chrono::milliseconds(json.at("fa").get<std::int64_t>());
        if (!json.at("f").is_null()) {
            message.inFlight.emplace();
            for (const auto& [server, count] : json.at("f").items())
                message.inFlight->emplace(server, count.get<std::uint32_t>());
        }
        for (const Json& suspect : json.value("s", Json::array()))
            message.suspects.push_back(suspectFromJson(suspect));
        for (const Json& server : json.value("ls", Json::array()))
            message.leavingServers.push_back({ server.at(0).get<std::string>(), server.at(1).get<std::int64_t>() });
        for (const Json& limit : json.value("rl", Json::array()))
            message.rateLimits.push_back({ limit.at(0).get<std::string>(), limit.at(1).get<std::uint64_t>(), limit.at(2).get<double>(), std::chrono::milliseconds(limit.at(3).get<std::int64_t>()) });
        message.evacuations = evacuationsFromJson(json.value("ev", Json()));
        return message;
    });
}

CatalogTextMessage decodeCatalogText(ByteView body)
{
    return decodeBody(CatalogTextMessage::type, body, [](const Json& json) { return CatalogTextMessage { json.at("t").get<std::string>() }; });
}

FleetMessage decodeFleet(ByteView body)
{
    return decodeBody(FleetMessage::type, body, [](const Json& json) {
        FleetMessage message;
        message.snapshot.position = { json.value("g", StoreGeneration { 0 }), json.at("r").get<std::uint64_t>() };
        message.age = std::chrono::milliseconds(json.at("a").get<std::int64_t>());
        for (const Json& server : json.at("s"))
            message.snapshot.servers.push_back(serverFromJson(server));
        return message;
    });
}

std::uint64_t fleetDigest(const FleetSnapshot& snapshot)
{
    std::string text;
    for (const ServerRecord& server : snapshot.servers) {
        text += server.id + ' ' + server.service + ' ' + formatEndpoint(server.address) + ' ' + server.availabilityZone + ' ' + std::to_string(server.slots);
        text += ' ' + std::to_string(server.startedAt) + (server.isDraining ? " d" : " r") + (isStatedWarm(server) ? "w\n" : "c\n");
    }
    return XXH64(text.data(), text.size(), 0);
}

}

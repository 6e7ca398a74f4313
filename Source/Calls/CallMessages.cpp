#include "Calls/CallMessages.h"

#include "Transport/CborBody.h"

#include <tuple>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

Json ticketToJson(const Ticket& ticket)
{
    return { { "agent", ticket.agent }, { "incarnation", ticket.incarnation }, { "session", ticket.session }, { "sequence", ticket.sequence } };
}

Ticket ticketFromJson(const Json& json)
{
    Ticket ticket;
    ticket.agent = json.at("agent").get<std::string>();
    ticket.incarnation = json.at("incarnation").get<std::string>();
    ticket.session = json.at("session").get<std::uint64_t>();
    ticket.sequence = json.at("sequence").get<std::uint64_t>();
    return ticket;
}

Json loadToJson(const LoadReport& load)
{
    return { { "running", load.running }, { "queued", load.queued }, { "capacity", load.capacity },
        { "stepTime", load.stepTime.count() }, { "age", load.age.count() } };
}

LoadReport loadFromJson(const Json& json)
{
    LoadReport load;
    load.running = json.at("running").get<std::uint32_t>();
    load.queued = json.at("queued").get<std::uint32_t>();
    load.capacity = json.at("capacity").get<std::uint32_t>();
    load.stepTime = std::chrono::microseconds(json.at("stepTime").get<std::int64_t>());
    load.age = std::chrono::milliseconds(json.at("age").get<std::int64_t>());
    return load;
}

Json cacheEventsToJson(const std::vector<CacheEvent>& events)
{
    Json list = Json::array();
    for (const CacheEvent& event : events)
        list.push_back({ event.sequence, static_cast<int>(event.kind), event.prefixHash });
    return list;
}

std::vector<CacheEvent> cacheEventsFromJson(const Json& list)
{
    std::vector<CacheEvent> events;
    for (const Json& entry : list) {
        CacheEvent event;
        event.sequence = entry.at(0).get<std::uint64_t>();
        event.kind = entry.at(1).get<int>() == static_cast<int>(CacheEventKind::Stored) ? CacheEventKind::Stored : CacheEventKind::Evicted;
        event.prefixHash = entry.at(2).get<std::uint64_t>();
        events.push_back(event);
    }
    return events;
}

ResultCode codeFromJson(const Json& json)
{
    return static_cast<ResultCode>(json.get<std::uint16_t>());
}

}

bool operator==(const Ticket& left, const Ticket& right)
{
    return std::tie(left.agent, left.incarnation, left.session, left.sequence)
        == std::tie(right.agent, right.incarnation, right.session, right.sequence);
}

bool operator<(const Ticket& left, const Ticket& right)
{
    return std::tie(left.agent, left.incarnation, left.session, left.sequence)
        < std::tie(right.agent, right.incarnation, right.session, right.sequence);
}

Frame encodeMessage(const HelloMessage& message, HybridTime time)
{
    return makeFrame(HelloMessage::type, time,
        { { "name", message.name }, { "incarnation", message.incarnation }, { "zone", message.availabilityZone },
            { "role", message.role }, { "engineKind", message.engineKind }, { "serves", message.serves }, { "group", message.group },
            { "groupMembers", message.groupMembers } });
}

HelloMessage decodeHello(ByteView body)
{
    return decodeBody(HelloMessage::type, body, [](const Json& json) {
        HelloMessage message;
        message.name = json.at("name").get<std::string>();
        message.incarnation = json.at("incarnation").get<std::string>();
        message.availabilityZone = json.at("zone").get<std::string>();
        message.role = json.at("role").get<std::string>();
        message.engineKind = json.value("engineKind", "");
        message.serves = json.value("serves", "");
        message.group = json.value("group", "");
        message.groupMembers = json.value("groupMembers", std::vector<std::string>());
        return message;
    });
}

Frame encodeMessage(const TicketsMessage& message, HybridTime time)
{
    return makeFrame(TicketsMessage::type, time,
        { { "session", message.session }, { "first", message.firstSequence }, { "count", message.count },
            { "load", loadToJson(message.load) }, { "cacheEvents", cacheEventsToJson(message.cacheEvents) }, { "draining", message.isDraining },
            { "health", static_cast<int>(message.health) }, { "groupSkew", message.groupSkew } });
}

TicketsMessage decodeTickets(ByteView body)
{
    return decodeBody(TicketsMessage::type, body, [](const Json& json) {
        TicketsMessage message;
        message.session = json.at("session").get<std::uint64_t>();
        message.firstSequence = json.at("first").get<std::uint64_t>();
        message.count = json.at("count").get<std::uint64_t>();
        message.load = loadFromJson(json.at("load"));
        message.cacheEvents = cacheEventsFromJson(json.at("cacheEvents"));
        message.isDraining = json.at("draining").get<bool>();
        message.health = enumerationFromJson(json.at("health"), EngineHealth::Unavailable);
        message.groupSkew = json.value("groupSkew", 1.0);
        return message;
    });
}

Frame encodeMessage(const CallMessage& message, HybridTime time)
{
    return makeFrame(CallMessage::type, time,
        { { "callId", message.callId }, { "attempt", message.attempt }, { "ticket", ticketToJson(message.ticket) },
            { "configuration", message.configurationVersion }, { "timeLeft", message.timeLeft.count() },
            { "kind", static_cast<int>(message.kind) }, { "operation", message.operation }, { "customer", message.customer }, { "key", message.idempotencyKey },
            { "priority", message.priority }, { "payload", message.payload }, { "resumeText", message.resumeText } });
}

CallMessage decodeCall(ByteView body)
{
    return decodeBody(CallMessage::type, body, [](const Json& json) {
        CallMessage message;
        message.callId = json.at("callId").get<std::string>();
        message.attempt = json.at("attempt").get<std::uint32_t>();
        message.ticket = ticketFromJson(json.at("ticket"));
        message.configurationVersion = json.at("configuration").get<std::uint64_t>();
        message.timeLeft = std::chrono::milliseconds(json.at("timeLeft").get<std::int64_t>());
        message.kind = enumerationFromJson(json.at("kind"), CallKind::Service);
        message.operation = json.at("operation").get<std::string>();
        message.customer = json.at("customer").get<std::string>();
        message.idempotencyKey = json.at("key").get<std::string>();
        message.priority = json.at("priority").get<std::int32_t>();
        message.payload = json.at("payload").get<std::string>();
        message.resumeText = json.at("resumeText").get<std::string>();
        return message;
    });
}

Frame encodeMessage(const RefusedMessage& message, HybridTime time)
{
    return makeFrame(RefusedMessage::type, time,
        { { "callId", message.callId }, { "attempt", message.attempt }, { "code", resultNumber(message.code) }, { "detail", message.detail } });
}

RefusedMessage decodeRefused(ByteView body)
{
    return decodeBody(RefusedMessage::type, body, [](const Json& json) {
        RefusedMessage message;
        message.callId = json.at("callId").get<std::string>();
        message.attempt = json.at("attempt").get<std::uint32_t>();
        message.code = codeFromJson(json.at("code"));
        message.detail = json.at("detail").get<std::string>();
        return message;
    });
}

Frame encodeMessage(const PartMessage& message, HybridTime time)
{
    return makeFrame(PartMessage::type, time,
        { { "callId", message.callId }, { "attempt", message.attempt }, { "offset", message.offset }, { "text", message.text } });
}

PartMessage decodePart(ByteView body)
{
    return decodeBody(PartMessage::type, body, [](const Json& json) {
        PartMessage message;
        message.callId = json.at("callId").get<std::string>();
        message.attempt = json.at("attempt").get<std::uint32_t>();
        message.offset = json.at("offset").get<std::uint64_t>();
        message.text = json.at("text").get<std::string>();
        return message;
    });
}

Frame encodeMessage(const EndMessage& message, HybridTime time)
{
    return makeFrame(EndMessage::type, time,
        { { "callId", message.callId }, { "attempt", message.attempt }, { "total", message.total },
            { "code", resultNumber(message.code) }, { "detail", message.detail } });
}

EndMessage decodeEnd(ByteView body)
{
    return decodeBody(EndMessage::type, body, [](const Json& json) {
        EndMessage message;
        message.callId = json.at("callId").get<std::string>();
        message.attempt = json.at("attempt").get<std::uint32_t>();
        message.total = json.at("total").get<std::uint64_t>();
        message.code = codeFromJson(json.at("code"));
        message.detail = json.at("detail").get<std::string>();
        return message;
    });
}

Frame encodeMessage(const CancelMessage& message, HybridTime time)
{
    return makeFrame(CancelMessage::type, time, { { "callId", message.callId }, { "attempt", message.attempt } });
}

CancelMessage decodeCancel(ByteView body)
{
    return decodeBody(CancelMessage::type, body, [](const Json& json) {
        CancelMessage message;
        message.callId = json.at("callId").get<std::string>();
        message.attempt = json.at("attempt").get<std::uint32_t>();
        return message;
    });
}

Frame encodeMessage(const ResolveMessage& message, HybridTime time)
{
    return makeFrame(ResolveMessage::type, time, { { "queryId", message.queryId }, { "ticket", ticketToJson(message.ticket) } });
}

ResolveMessage decodeResolve(ByteView body)
{
    return decodeBody(ResolveMessage::type, body, [](const Json& json) {
        ResolveMessage message;
        message.queryId = json.at("queryId").get<std::string>();
        message.ticket = ticketFromJson(json.at("ticket"));
        return message;
    });
}

Frame encodeMessage(const ResolutionMessage& message, HybridTime time)
{
    return makeFrame(ResolutionMessage::type, time,
        { { "queryId", message.queryId }, { "state", static_cast<int>(message.state) },
            { "code", resultNumber(message.code) }, { "answer", message.answer } });
}

ResolutionMessage decodeResolution(ByteView body)
{
    return decodeBody(ResolutionMessage::type, body, [](const Json& json) {
        ResolutionMessage message;
        message.queryId = json.at("queryId").get<std::string>();
        message.state = enumerationFromJson(json.at("state"), CallState::Unknown);
        message.code = codeFromJson(json.at("code"));
        message.answer = json.at("answer").get<std::string>();
        return message;
    });
}

Frame encodeMessage(const FetchMessage& message, HybridTime time)
{
    return makeFrame(FetchMessage::type, time,
        { { "callId", message.callId }, { "originalCallId", message.originalCallId }, { "offset", message.offset }, { "customer", message.customer } });
}

FetchMessage decodeFetch(ByteView body)
{
    return decodeBody(FetchMessage::type, body, [](const Json& json) {
        FetchMessage message;
        message.callId = json.at("callId").get<std::string>();
        message.originalCallId = json.at("originalCallId").get<std::string>();
        message.offset = json.at("offset").get<std::uint64_t>();
        message.customer = json.at("customer").get<std::string>();
        return message;
    });
}

}

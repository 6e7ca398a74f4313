#include "StandIns/PlatformRole.h"

#include "Platform/TableJson.h"
#include "StandIns/JsonHttp.h"

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

// A table request whose queueing time would exceed this limit is rejected with status 503 and not applied.
constexpr std::chrono::seconds maxTableWait { 2 };
constexpr std::chrono::hours maxWeightWait { 1 };
constexpr std::size_t maxObjectBytes = 64 * 1024 * 1024;

HttpServerLimits platformLimits()
{
    HttpServerLimits limits;
    limits.maxBodyBytes = maxObjectBytes;
    return limits;
}

bool isPlatformWrite(const HttpRequest& request)
{
    std::string_view path = pathOf(request.target);
    return request.method != "GET" && path != "/v1/table/read" && path != "/v1/table/scan";
}

std::chrono::milliseconds roundUp(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

}

PlatformRole::PlatformRole(EventLoop& loop, const Clock& clock, const PlatformOptions& options)
    : delayed_(loop)
    , clock_(clock)
    , tableWriteRate_(options.tableWritesPerSecond, maxTableWait)
    , tableReadRate_(options.tableReadsPerSecond, maxTableWait)
    , weightRate_(options.weightBytesPerSecond, maxWeightWait)
    , instances_(options.listLag)
    , faults_(
          loop, [this](const Exchange& exchange) { handle(exchange); }, isPlatformWrite)
    , server_(loop, options.listen, platformLimits(), [this](const Exchange& exchange) { faults_.handle(exchange); })
{
}

void PlatformRole::handle(const Exchange& exchange)
{
    const HttpRequest& request = exchange->request();
    std::string_view path = pathOf(request.target);
    if (std::optional<std::string> operation = pathAfter(request, "/v1/table/"))
        handleTable(exchange, *operation);
    else if (std::optional<std::string> key = pathAfter(request, "/v1/objects/"))
        handleObject(*exchange, *key);
    else if (path == "/v1/objects")
        listObjects(*exchange);
    else if (std::optional<std::string> name = pathAfter(request, "/v1/instances/"))
        handleInstance(*exchange, *name);
    else if (path == "/v1/instances")
        listInstances(*exchange);
    else if (pathAfter(request, "/v1/weights/"))
        serveWeights(exchange);
    else if (path == "/v1/counters")
        reportCounters(*exchange);
    else
        respondError(*exchange, 404, "unknown path");
}

void PlatformRole::handleTable(const Exchange& exchange, std::string_view operation)
{
    bool isWrite = operation == "write";
    std::optional<Duration> wait = (isWrite ? tableWriteRate_ : tableReadRate_).admit(clock_.now(), 1);
    if (!wait) {
        ++counters_.tableRefused;
        respondError(*exchange, 503, "the table is overloaded");
        return;
    }
    delayed_.run(roundUp(*wait), [this, exchange, isWrite, operation = std::string(operation)] {
        handleSafely(exchange, [&](const Exchange& delayed) {
            if (isWrite)
                writeTable(*delayed);
            else
                readTable(*delayed, operation);
        });
    });
}

void PlatformRole::readTable(HttpExchange& exchange, std::string_view operation)
{
    const std::string& body = exchange.request().body;
    if (operation != "read" && operation != "scan") {
        respondError(exchange, 404, "unknown table operation");
        return;
    }
    ++counters_.tableReads;
    TableReadResult result = operation == "read" ? table_.read(decodeReadRequest(body)) : table_.scan(decodeScanRequest(body));
    exchange.respond({ 200, { { "Content-Type", "application/json" } }, encodeRows(result.rows) });
}

void PlatformRole::writeTable(HttpExchange& exchange)
{
    ++counters_.tableWrites;
    TableWriteResult result = table_.write(decodeWriteRequest(exchange.request().body));
    if (result.status != ResultCode::Ok)
        ++counters_.tableConflicts;
    respondJson(exchange, httpStatus(result.status), Json::object());
}

void PlatformRole::handleObject(HttpExchange& exchange, const std::string& key)
{
    const HttpRequest& request = exchange.request();
    if (request.method == "PUT") {
        ++counters_.objectWrites;
        objects_[key] = request.body;
        exchange.respond(HttpResponse());
        return;
    }
    ++counters_.objectReads;
    auto object = objects_.find(key);
    if (object == objects_.end())
        respondError(exchange, 404, "no such object");
    else
        exchange.respond({ 200, {}, object->second });
}

void PlatformRole::listObjects(HttpExchange& exchange)
{
    ++counters_.objectReads;
    std::string prefix = queryParameter(exchange.request().target, "prefix").value_or("");
    std::string keys;
    for (auto object = objects_.lower_bound(prefix); object != objects_.end(); ++object) {
        if (object->first.compare(0, prefix.size(), prefix) != 0)
            break;
        keys += object->first + "\n";
    }
    exchange.respond({ 200, { { "Content-Type", "text/plain" } }, keys });
}

void PlatformRole::handleInstance(HttpExchange& exchange, const std::string& name)
{
    const HttpRequest& request = exchange.request();
    if (request.method == "DELETE") {
        instances_.change(clock_.now(), name, std::nullopt);
    } else if (request.method == "PUT") {
        // decodeInstances only decodes lists, so the object is wrapped in a list with one element.
        Json document { { "instances", Json::array({ parseJsonObject(request.body) }) } };
        InstanceRecord record = decodeInstances(document.dump()).front();
        record.name = name;
        instances_.change(clock_.now(), name, record);
    } else {
        respondError(exchange, 405, "use PUT or DELETE");
        return;
    }
    exchange.respond(HttpResponse());
}

void PlatformRole::listInstances(HttpExchange& exchange)
{
    ++counters_.instanceReads;
    std::string body = encodeInstances(instances_.visible(clock_.now()));
    exchange.respond({ 200, { { "Content-Type", "application/json" } }, body });
}

void PlatformRole::serveWeights(const Exchange& exchange)
{
    std::uint64_t bytes = numberParameter(exchange->request(), "bytes", 0);
    ++counters_.weightReads;
    counters_.weightBytes += bytes;
    std::optional<Duration> wait = weightRate_.admit(clock_.now(), static_cast<double>(bytes));
    if (!wait) {
        respondError(*exchange, 503, "the weight store is overloaded");
        return;
    }
    delayed_.run(roundUp(*wait), [exchange, bytes] { respondJson(*exchange, 200, { { "bytes", bytes } }); });
}

void PlatformRole::reportCounters(HttpExchange& exchange)
{
    respondJson(exchange, 200,
        {
            { "table_reads", counters_.tableReads },
            { "table_writes", counters_.tableWrites },
            { "table_conflicts", counters_.tableConflicts },
            { "table_refused", counters_.tableRefused },
            { "object_reads", counters_.objectReads },
            { "object_writes", counters_.objectWrites },
            { "instance_reads", counters_.instanceReads },
            { "weight_reads", counters_.weightReads },
            { "weight_bytes", counters_.weightBytes },
        });
}

}

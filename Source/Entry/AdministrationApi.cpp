#include "Entry/AdministrationApi.h"

#include "Core/Error.h"
#include "Entry/ProblemDetails.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

constexpr std::string_view configPath = "/v1/config";
constexpr std::string_view sectionPrefix = "/v1/config/sections/";
constexpr std::string_view changePrefix = "/v1/config/changes/";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::chrono::milliseconds decisionPollPeriod { 20 };
// TimeLimits::inForceBound plus one second. A change that is neither accepted nor refused by then is reported with
// its current state.
constexpr std::chrono::seconds maxDecisionWait { 8 };

bool hasPrefix(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

std::string changeJson(const ChangeRecord& record)
{
    Json json;
    json["id"] = record.id;
    json["section"] = record.section;
    json["team"] = record.team;
    json["state"] = changeStateName(record.state);
    json["version"] = record.version;
    json["code"] = resultNumber(record.code);
    json["reason"] = record.reason;
    json["in_force_on"] = record.inForceOn;
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpResponse jsonResponse(int status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

// Returns whether the state is final. Undecided, Proposed and Committed are not: a committed change is reported
// only when it is in force.
bool isDecided(ChangeState state)
{
    return state == ChangeState::Accepted || state == ChangeState::Refused;
}

HttpResponse changeResponse(const ChangeRecord& record)
{
    if (record.state == ChangeState::Refused)
        return problemResponse(record.code, Executed::No, record.reason);
    return jsonResponse(record.state == ChangeState::Accepted ? 200 : 202, changeJson(record));
}

// Reads the version from an If-Match header, with or without double quotes.
ConfigurationVersion readIfMatch(const HttpRequest& request)
{
    std::string text = findHeader(request.headers, "If-Match").value_or("");
    std::string_view digits = text;
    if (digits.size() > 2 && digits.front() == '"' && digits.back() == '"')
        digits = digits.substr(1, digits.size() - 2);
    ConfigurationVersion version = 0;
    auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), version);
    if (failure != std::errc() || end != digits.data() + digits.size())
        throw Error(ResultCode::MalformedRequest, "If-Match is \"" + text + "\"; expected the version that GET returned as ETag");
    return version;
}

std::string readToken(const HttpRequest& request)
{
    std::string text = findHeader(request.headers, "Authorization").value_or("");
    if (!hasPrefix(text, bearerPrefix))
        throw Error(ResultCode::NotSectionOwner, "send Authorization: Bearer with the token of the section's team");
    return text.substr(bearerPrefix.size());
}

}

AdministrationApi::AdministrationApi(EventLoop& loop, const Clock& clock, Random& random, ChangeProtocol& protocol, AdministrationHooks hooks)
    : clock_(clock)
    , random_(random)
    , protocol_(protocol)
    , hooks_(std::move(hooks))
    , timer_(loop.every(decisionPollPeriod, [this] { respondToDecidedChanges(); }))
{
}

bool AdministrationApi::handle(const Exchange& exchange)
{
    std::string_view path = pathOf(exchange->request().target);
    bool isAdministrationPath = hasPrefix(path, configPath) || path == "/v1/status" || path == "/v1/timeline";
    if (!isAdministrationPath)
        return false;
    try {
        route(exchange, path);
    } catch (const Error& error) {
        exchange->respond(problemResponse(error.code(), Executed::No, error.what()));
    }
    return true;
}

void AdministrationApi::route(const Exchange& exchange, std::string_view path)
{
    const std::string& method = exchange->request().method;
    if (path == "/v1/status")
        exchange->respond(jsonResponse(200, hooks_.status()));
    else if (path == "/v1/timeline")
        exchange->respond(jsonResponse(200, hooks_.timeline()));
    else if (path == configPath)
        getDocument(exchange);
    else if (path == "/v1/config/check" && method == "POST")
        checkDocument(exchange);
    else if (path == "/v1/config/history")
        getHistory(exchange);
    else if (hasPrefix(path, changePrefix))
        getChange(exchange, std::string(path.substr(changePrefix.size())));
    else if (hasPrefix(path, sectionPrefix) && method == "PUT")
        putSection(exchange, std::string(path.substr(sectionPrefix.size())));
    else if (hasPrefix(path, sectionPrefix) && method == "GET")
        getSection(exchange, std::string(path.substr(sectionPrefix.size())));
    else
        throw Error(ResultCode::UnknownRoute, method + " " + std::string(path) + " is not part of the administration API");
}

const CommittedDocument& AdministrationApi::documentInForce() const
{
    const DocumentPointer& document = protocol_.inForce();
    if (!document)
        throw Error(ResultCode::NotReady, "no configuration is in force on this entry yet");
    return *document;
}

void AdministrationApi::getDocument(const Exchange& exchange) const
{
    const CommittedDocument& document = documentInForce();
    HttpResponse response { 200, { { "Content-Type", "application/toml" } }, document.text.join() };
    response.headers.push_back({ "ETag", "\"" + std::to_string(document.version) + "\"" });
    exchange->respond(std::move(response));
}

void AdministrationApi::getSection(const Exchange& exchange, const std::string& section) const
{
    const CommittedDocument& document = documentInForce();
    HttpResponse response { 200, { { "Content-Type", "application/toml" } }, document.text.section(section) };
    response.headers.push_back({ "ETag", "\"" + std::to_string(document.version) + "\"" });
    exchange->respond(std::move(response));
}

void AdministrationApi::putSection(const Exchange& exchange, const std::string& section)
{
    const HttpRequest& request = exchange->request();
    ChangeRequest change;
    change.section = section;
    change.text = request.body;
    change.basedOn = readIfMatch(request);
    change.token = readToken(request);
    std::string id = random_.identifier();
    protocol_.submit(id, change);
    respondWhenDecided(exchange, id);
}

void AdministrationApi::checkDocument(const Exchange& exchange) const
{
    const HttpRequest& request = exchange->request();
    std::optional<std::string> section = queryParameter(request.target, "section");
    if (section)
        hooks_.validate(documentInForce().text.withSection(*section, request.body));
    else
        hooks_.validate(ConfigurationText::split(request.body));
    exchange->respond(jsonResponse(200, R"({"valid":true})"));
}

void AdministrationApi::getChange(const Exchange& exchange, const std::string& id) const
{
    exchange->respond(jsonResponse(200, changeJson(protocol_.change(id))));
}

void AdministrationApi::getHistory(const Exchange& exchange) const
{
    Json list = Json::array();
    for (const ChangeRecord& record : protocol_.history())
        list.push_back(Json::parse(changeJson(record)));
    exchange->respond(jsonResponse(200, Json { { "changes", list } }.dump()));
}

void AdministrationApi::respondWhenDecided(const Exchange& exchange, const std::string& id)
{
    pendingChanges_.insert({ id, { exchange, clock_.now() } });
    respondToDecidedChanges();
}

void AdministrationApi::respondToDecidedChanges()
{
    for (auto pending = pendingChanges_.begin(); pending != pendingChanges_.end();) {
        ChangeRecord record = protocol_.change(pending->first);
        bool isOverdue = clock_.now() - pending->second.submittedAt > maxDecisionWait;
        if (!isDecided(record.state) && !isOverdue) {
            ++pending;
            continue;
        }
        HttpResponse response = changeResponse(record);
        response.headers.push_back({ "Location", std::string(changePrefix) + record.id });
        pending->second.exchange->respond(std::move(response));
        pending = pendingChanges_.erase(pending);
    }
}

}

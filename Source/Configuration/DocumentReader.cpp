#include "Configuration/DocumentReader.h"

#include "Configuration/TomlTableReader.h"

#include <algorithm>

namespace Damaskgrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t maxMilliseconds = 3600000;
constexpr std::int64_t maxSeconds = 86400;
constexpr std::int64_t maxCount = 1000000;
constexpr double minWeight = 0.01;
constexpr double maxWeight = 1000;
constexpr std::int64_t maxPriority = 9;
constexpr std::size_t hashDigits = 64;

milliseconds readMilliseconds(TomlTableReader& reader, const std::string& key, std::int64_t minimum = 1)
{
    return milliseconds(reader.integer(key, minimum, maxMilliseconds));
}

seconds readSeconds(TomlTableReader& reader, const std::string& key)
{
    return seconds(reader.integer(key, 1, maxSeconds));
}

std::uint32_t readCount(TomlTableReader& reader, const std::string& key)
{
    return static_cast<std::uint32_t>(reader.integer(key, 1, maxCount));
}

std::set<std::string> readNameSet(TomlTableReader& reader, const std::string& key)
{
    std::vector<std::string> names = reader.names(key, false);
    return { names.begin(), names.end() };
}

ModelSettings readModel(TomlTableReader& reader)
{
    ModelSettings model;
    model.groups = reader.names("groups", true);
    model.ranks = readCount(reader, "ranks");
    model.layers = readCount(reader, "layers");
    model.expertsPerLayer = readCount(reader, "experts_per_layer");
    model.expertSlotsPerRank = readCount(reader, "expert_slots_per_rank");
    return model;
}

void readModels(TomlTableReader& reader, Document& document)
{
    reader.child("model", false, [&document](TomlTableReader& models) {
        models.children([&document](const std::string& name, TomlTableReader& model) { document.models[name] = readModel(model); });
    });
    reader.child("service", false, [&document](TomlTableReader& services) {
        services.children([&document](const std::string& name, TomlTableReader& service) {
            service.child("operation", true, [&document, &name](TomlTableReader& operations) {
                operations.children([&document, &name](const std::string& operation, TomlTableReader& settings) {
                    document.services[name].operations[operation].isIdempotent = settings.boolean("idempotent");
                });
            });
        });
    });
}

// Without defaults, every key is required. With defaults, missing keys keep their default.
PlacementSettings readPlacement(TomlTableReader& reader, const PlacementSettings* defaults)
{
    PlacementSettings placement = defaults ? *defaults : PlacementSettings();
    auto isGiven = [&reader, defaults](const char* key) { return !defaults || reader.has(key); };
    if (isGiven("skew_weight"))
        placement.skewWeight = reader.number("skew_weight", 0, maxWeight);
    if (isGiven("cost_weight"))
        placement.costWeight = reader.number("cost_weight", 0, maxWeight);
    if (isGiven("horizon_s"))
        placement.horizon = readSeconds(reader, "horizon_s");
    if (isGiven("min_interval_s"))
        placement.minInterval = readSeconds(reader, "min_interval_s");
    if (isGiven("max_moved_mib"))
        placement.maxMovedMebibytes = readCount(reader, "max_moved_mib");
    if (isGiven("max_stall_ms"))
        placement.maxStall = readMilliseconds(reader, "max_stall_ms");
    return placement;
}

void readScheduling(TomlTableReader& reader, Document& document)
{
    reader.child("default", true, [&document](TomlTableReader& defaults) { document.placement = readPlacement(defaults, nullptr); });
    reader.child("model", false, [&document](TomlTableReader& models) {
        models.children([&document](const std::string& name, TomlTableReader& model) {
            document.placementOfModel[name] = readPlacement(model, &document.placement);
        });
    });
}

void readOnCall(TomlTableReader& reader, Document& document)
{
    OnCallSettings& onCall = document.onCall;
    reader.child("timeouts", true, [&onCall](TomlTableReader& timeouts) {
        onCall.defaultDeadline = readMilliseconds(timeouts, "default_deadline_ms");
        onCall.maxDeadline = readMilliseconds(timeouts, "max_deadline_ms");
        onCall.stallLimit = readMilliseconds(timeouts, "stall_ms");
        onCall.resolveTimeout = readMilliseconds(timeouts, "resolve_ms");
    });
    reader.child("drain", true, [&onCall](TomlTableReader& drain) { onCall.drainLimit = readSeconds(drain, "limit_s"); });
    reader.child("retries", true, [&onCall](TomlTableReader& retries) {
        onCall.retryShare = retries.number("share", 0, 1);
        onCall.retryFloorPerSecond = retries.number("floor_per_s", 0, maxWeight);
    });
    reader.child("ejection", true, [&onCall](TomlTableReader& ejection) {
        onCall.ejectAfterErrors = readCount(ejection, "after_errors");
        onCall.ejectionDuration = readSeconds(ejection, "for_s");
        onCall.maxEjectedShare = ejection.number("max_share", 0, 1);
    });
}

void readCustomers(TomlTableReader& reader, Document& document)
{
    reader.children([&document](const std::string& name, TomlTableReader& settings) {
        CustomerSettings& customer = document.customers[name];
        customer.weight = settings.number("weight", minWeight, maxWeight);
        customer.priority = static_cast<std::uint32_t>(settings.integer("priority", 0, maxPriority));
        customer.maxInFlight = readCount(settings, "max_in_flight");
        customer.deadline = readMilliseconds(settings, "deadline_ms");
        customer.models = readNameSet(settings, "models");
        customer.services = readNameSet(settings, "services");
    });
}

bool isHash(const std::string& text)
{
    return text.size() == hashDigits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void readTeams(TomlTableReader& reader, Document& document)
{
    reader.children([&document](const std::string& name, TomlTableReader& settings) {
        TeamSettings& team = document.teams[name];
        std::vector<std::string> sections = settings.names("sections", true);
        team.sections = { sections.begin(), sections.end() };
        team.tokenHashes = settings.names("token_sha256", true);
        if (!std::all_of(team.tokenHashes.begin(), team.tokenHashes.end(), isHash))
            settings.addProblem("token_sha256", "contains a value that is not a SHA-256 hash", "write 64 lower-case hexadecimal digits, as sha256sum prints them");
    });
}

struct SectionReader {
    const char* name;
    void (*read)(TomlTableReader&, Document&);
};

constexpr SectionReader sectionReaders[] = {
    { "customers", readCustomers },
    { "models", readModels },
    { "oncall", readOnCall },
    { "scheduling", readScheduling },
    { "teams", readTeams },
};

void readSection(const SectionReader& section, const ConfigurationText& text, DocumentCheck& check)
{
    std::size_t linesBefore = text.linesBefore(section.name);
    try {
        toml::table root = toml::parse(text.section(section.name));
        const toml::table* table = root[section.name].as_table();
        if (!table) {
            check.problems.push_back({ section.name, linesBefore + 1, section.name, "is missing", "write a table [" + std::string(section.name) + "]" });
            return;
        }
        TomlTableReader reader(*table, section.name, section.name, linesBefore, check.problems);
        section.read(reader, check.document);
        reader.finish();
    } catch (const toml::parse_error& failure) {
        check.problems.push_back({ section.name, linesBefore + failure.source().begin.line, section.name,
            "is not valid TOML: " + std::string(failure.description()), "correct the line" });
    }
}

}

const std::vector<std::string>& sectionNames()
{
    static const std::vector<std::string> names = [] {
        std::vector<std::string> list;
        for (const SectionReader& section : sectionReaders)
            list.emplace_back(section.name);
        return list;
    }();
    return names;
}

std::size_t findLine(const ConfigurationText& text, const std::string& section, const std::vector<std::string>& path)
{
    toml::table root = toml::parse(text.section(section));
    const toml::node* node = root.get(section);
    std::size_t line = 1;
    for (const std::string& part : path) {
        const toml::table* table = node ? node->as_table() : nullptr;
        auto entry = table ? table->find(part) : toml::table::const_iterator();
        if (!table || entry == table->end())
            break;
        line = entry->first.source().begin.line;
        node = &entry->second;
    }
    return line;
}

DocumentCheck readDocument(const ConfigurationText& text)
{
    DocumentCheck check;
    for (const SectionReader& section : sectionReaders)
        readSection(section, text, check);
    return check;
}

}

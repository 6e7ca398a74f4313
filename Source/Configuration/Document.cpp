#include "Configuration/Document.h"

#include "Configuration/DocumentReader.h"
#include "Core/Error.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>

namespace Damaskgrade {

namespace {

std::string joinNames(const std::vector<std::string>& names)
{
    std::string text;
    for (const std::string& name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

template <typename Value>
std::string joinKeys(const std::map<std::string, Value>& map)
{
    std::vector<std::string> names(map.size());
    std::transform(map.begin(), map.end(), names.begin(), [](const auto& entry) { return entry.first; });
    return joinNames(names);
}

// Checks the rules between sections. Each problem is reported for the section that contains the reference.
class CrossSectionCheck {
public:
    CrossSectionCheck(const ConfigurationText& text, DocumentCheck& check)
        : text_(text)
        , document_(check.document)
        , problems_(check.problems)
    {
    }

    void run()
    {
        checkOwners();
        checkGroups();
        checkPlacement();
        checkDeadlines();
        checkCustomers();
    }

private:
    void checkOwners()
    {
        for (const auto& [name, team] : document_.teams) {
            for (const std::string& section : team.sections) {
                if (!isSectionName(section))
                    add("teams", { name, "sections" }, "lists the unknown section " + section, "write one of: " + joinNames(sectionNames()));
            }
        }
        for (const std::string& section : sectionNames()) {
            std::vector<std::string> owners;
            for (const auto& [name, team] : document_.teams) {
                if (team.sections.count(section) > 0)
                    owners.push_back(name);
            }
            if (owners.empty())
                add("teams", {}, "has no team for section " + section, "add " + section + " to the sections of one team");
            if (owners.size() > 1)
                add("teams", { owners.back(), "sections" }, "section " + section + " belongs to " + joinNames(owners), "assign it to one team");
        }
    }

    void checkGroups()
    {
        std::map<std::string, std::string> modelOfGroup;
        for (const auto& [name, model] : document_.models) {
            for (const std::string& group : model.groups) {
                auto [other, isNew] = modelOfGroup.emplace(group, name);
                if (!isNew)
                    add("models", { "model", name, "groups" }, "group " + group + " also serves " + other->second, "list each group under one model");
            }
            if (model.ranks * model.expertSlotsPerRank < model.expertsPerLayer)
                add("models", { "model", name, "expert_slots_per_rank" },
                    std::to_string(model.ranks) + " ranks with " + std::to_string(model.expertSlotsPerRank) + " expert slots can't hold " + std::to_string(model.expertsPerLayer) + " experts",
                    "write at least " + std::to_string((model.expertsPerLayer + model.ranks - 1) / model.ranks));
        }
        if (document_.models.empty() && document_.services.empty())
            add("models", {}, "has neither a model nor a service", "write a table [models.model.NAME] or [models.service.NAME.operation.NAME]");
    }

    void checkPlacement()
    {
        for (const auto& [name, placement] : document_.placementOfModel) {
            if (document_.models.count(name) == 0)
                add("scheduling", { "model", name }, "there is no model of this name", "write one of: " + joinKeys(document_.models));
        }
    }

    void checkDeadlines()
    {
        const OnCallSettings& onCall = document_.onCall;
        std::string maxDeadline = std::to_string(onCall.maxDeadline.count());
        if (onCall.defaultDeadline > onCall.maxDeadline)
            add("oncall", { "timeouts", "default_deadline_ms" }, "exceeds max_deadline_ms", "write at most " + maxDeadline);
        if (onCall.stallLimit >= onCall.defaultDeadline)
            add("oncall", { "timeouts", "stall_ms" }, "leaves no time for a call", "write less than " + std::to_string(onCall.defaultDeadline.count()));
        // A shorter limit would make a drain report calls as overdue that are still within their deadline.
        if (onCall.drainLimit < onCall.maxDeadline) {
            std::chrono::seconds minimum = std::chrono::ceil<std::chrono::seconds>(onCall.maxDeadline);
            add("oncall", { "drain", "limit_s" }, "is shorter than the longest call", "write at least " + std::to_string(minimum.count()));
        }
    }

    void checkCustomers()
    {
        for (const auto& [name, customer] : document_.customers) {
            if (customer.deadline > document_.onCall.maxDeadline)
                add("customers", { name, "deadline_ms" }, "exceeds max_deadline_ms of section oncall",
                    "write at most " + std::to_string(document_.onCall.maxDeadline.count()));
            checkNames(name, "models", customer.models, document_.models);
            checkNames(name, "services", customer.services, document_.services);
        }
        if (document_.customers.empty())
            add("customers", {}, "has no customer", "write a table [customers.NAME]");
    }

    template <typename Value>
    void checkNames(const std::string& customer, const char* key, const std::set<std::string>& names, const std::map<std::string, Value>& known)
    {
        for (const std::string& name : names) {
            if (known.count(name) == 0)
                add("customers", { customer, key }, "lists " + name + ", which section models does not contain", "write one of: " + joinKeys(known));
        }
    }

    void add(const std::string& section, const std::vector<std::string>& path, const std::string& reason, const std::string& advice)
    {
        std::string key = section;
        for (const std::string& part : path)
            key += "." + part;
        problems_.push_back({ section, text_.linesBefore(section) + findLine(text_, section, path), key, reason, advice });
    }

    const ConfigurationText& text_;
    const Document& document_;
    std::vector<DocumentProblem>& problems_;
};

std::string tokenHash(const std::string& token)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), digest);
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (unsigned char byte : digest) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

bool hasToken(const TeamSettings& team, const std::string& token)
{
    std::string hash = tokenHash(token);
    return std::any_of(team.tokenHashes.begin(), team.tokenHashes.end(), [&hash](const std::string& known) {
        return known.size() == hash.size() && CRYPTO_memcmp(known.data(), hash.data(), hash.size()) == 0;
    });
}

}

bool isSectionName(std::string_view name)
{
    return std::find(sectionNames().begin(), sectionNames().end(), name) != sectionNames().end();
}

void requireSectionName(const std::string& name)
{
    if (!isSectionName(name))
        throw Error(ResultCode::UnknownSection, "there is no section \"" + name + "\"; write one of: " + joinNames(sectionNames()));
}

std::string formatProblem(const DocumentProblem& problem)
{
    return "line " + std::to_string(problem.line) + ", " + problem.key + ": " + problem.reason + "; " + problem.advice;
}

DocumentCheck checkDocument(const ConfigurationText& text)
{
    DocumentCheck check = readDocument(text);
    // With missing or invalid values, the checks between sections would report misleading problems.
    if (check.problems.empty())
        CrossSectionCheck(text, check).run();
    return check;
}

Document parseDocument(const ConfigurationText& text)
{
    DocumentCheck check = checkDocument(text);
    if (check.problems.empty())
        return std::move(check.document);
    std::string message;
    for (const DocumentProblem& problem : check.problems)
        message += (message.empty() ? "" : "\n") + formatProblem(problem);
    throw Error(ResultCode::DocumentInvalid, message);
}

std::string authorizeTeam(const ConfigurationText& text, const std::string& section, const std::string& token)
{
    requireSectionName(section);
    Document document = readDocument(text).document;
    for (const auto& [name, team] : document.teams) {
        if (team.sections.count(section) > 0 && hasToken(team, token))
            return name;
    }
    throw Error(ResultCode::NotSectionOwner, "the token does not belong to the team that owns section " + section);
}

}

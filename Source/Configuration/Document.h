#pragma once

#include "Configuration/ConfigurationText.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Damaskgrade {

struct ModelSettings {
    // The groups of ranks that serve this model. A group serves one model.
    std::vector<std::string> groups;
    std::uint32_t ranks { 0 };
    std::uint32_t layers { 0 };
    std::uint32_t expertsPerLayer { 0 };
    std::uint32_t expertSlotsPerRank { 0 };
};

struct OperationSettings {
    // A call of an operation that is not idempotent is executed at most once.
    bool isIdempotent { false };
};

struct ServiceSettings {
    std::map<std::string, OperationSettings> operations;
};

struct PlacementSettings {
    // Weight of the step-time skew between ranks against the cost of moving experts.
    double skewWeight { 1 };
    double costWeight { 1 };
    std::chrono::seconds horizon { 0 };
    std::chrono::seconds minInterval { 0 };
    std::uint32_t maxMovedMebibytes { 0 };
    std::chrono::milliseconds maxStall { 0 };
};

struct OnCallSettings {
    std::chrono::milliseconds defaultDeadline { 0 };
    std::chrono::milliseconds maxDeadline { 0 };
    // An idempotent call without a part of its answer for this long goes on at another backend server.
    std::chrono::milliseconds stallLimit { 0 };
    // An agent that can't be asked for this long makes the outcome of a call unknown.
    std::chrono::milliseconds resolveTimeout { 0 };
    std::chrono::seconds drainLimit { 0 };
    // Share of calls that may be sent again, and a floor for times with few calls.
    double retryShare { 0 };
    double retryFloorPerSecond { 0 };
    std::uint32_t ejectAfterErrors { 0 };
    std::chrono::seconds ejectionDuration { 0 };
    // Share of the backend servers that may be ejected at the same time.
    double maxEjectedShare { 0 };
};

struct CustomerSettings {
    // Share of the capacity relative to the other customers.
    double weight { 1 };
    // From 0 to 9; higher goes first.
    std::uint32_t priority { 0 };
    std::uint32_t maxInFlight { 0 };
    std::chrono::milliseconds deadline { 0 };
    std::set<std::string> models;
    std::set<std::string> services;
};

struct TeamSettings {
    std::set<std::string> sections;
    // SHA-256 of each valid token, in lower-case hexadecimal. Two while a token is replaced.
    std::vector<std::string> tokenHashes;
};

// The configuration document in typed form.
struct Document {
    std::map<std::string, ModelSettings> models;
    std::map<std::string, ServiceSettings> services;
    // For each model, the default with the model's own settings over it.
    PlacementSettings placement;
    std::map<std::string, PlacementSettings> placementOfModel;
    OnCallSettings onCall;
    std::map<std::string, CustomerSettings> customers;
    std::map<std::string, TeamSettings> teams;
};

// A fault in a document: where it is, what is wrong and what to write instead.
struct DocumentProblem {
    std::string section;
    // Counted as ConfigurationText::linesBefore says.
    std::size_t line { 0 };
    std::string key;
    std::string reason;
    std::string advice;
};

struct DocumentCheck {
    Document document;
    std::vector<DocumentProblem> problems;
};

// Returns the names of all sections, sorted.
const std::vector<std::string>& sectionNames();
bool isSectionName(std::string_view name);

// Throws Error(UnknownSection) with the names that exist.
void requireSectionName(const std::string& name);

// Returns "line 4, customers.customer.a.weight: is 0; write ...".
std::string formatProblem(const DocumentProblem& problem);

// Reads the whole document and checks it, rules between sections included.
DocumentCheck checkDocument(const ConfigurationText& text);

// Throws Error(DocumentInvalid) that lists all problems, one a line.
Document parseDocument(const ConfigurationText& text);

// Returns the team that owns the section, if the token is one of its tokens.
// Throws Error(UnknownSection), or Error(NotSectionOwner).
std::string authorizeTeam(const ConfigurationText& text, const std::string& section, const std::string& token);

}

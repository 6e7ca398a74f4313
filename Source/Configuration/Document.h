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
    // The model groups that serve this model. A group serves only one model.
    std::vector<std::string> groups;
    // The number of ranks in each group.
    std::uint32_t ranks { 0 };
    std::uint32_t layers { 0 };
    std::uint32_t expertsPerLayer { 0 };
    std::uint32_t expertSlotsPerRank { 0 };
};

struct OperationSettings {
    // Calls of an operation that is not idempotent are executed at most once.
    bool isIdempotent { false };
};

struct ServiceSettings {
    std::map<std::string, OperationSettings> operations;
};

struct PlacementSettings {
    // Weight of the step-time skew between ranks, relative to costWeight. The skew is the time of the slowest
    // rank divided by the mean; 1 means balanced.
    double skewWeight { 1 };
    double costWeight { 1 };
    // The time for which a map change is expected to reduce the skew.
    std::chrono::seconds horizon { 0 };
    // Minimum time between two map changes of a group.
    std::chrono::seconds minInterval { 0 };
    std::uint32_t maxMovedMebibytes { 0 };
    // The time for which a switch may stall the group. It counts as a cost of each change.
    std::chrono::milliseconds maxStall { 0 };
};

struct OnCallSettings {
    // The deadlines are durations from the arrival of a call.
    std::chrono::milliseconds defaultDeadline { 0 };
    std::chrono::milliseconds maxDeadline { 0 };
    // An idempotent call that receives no part of its response for this time continues on another
    // backend server.
    std::chrono::milliseconds stallLimit { 0 };
    // If an agent can't be reached for this time, the outcome of its calls is reported as unknown.
    std::chrono::milliseconds resolveTimeout { 0 };
    // Time after which a drain logs that calls are still running. It keeps waiting for them.
    std::chrono::seconds drainLimit { 0 };
    // Retry budget as a share of the calls, and its minimum rate for times with few calls.
    double retryShare { 0 };
    double retryFloorPerSecond { 0 };
    std::uint32_t ejectAfterErrors { 0 };
    std::chrono::seconds ejectionDuration { 0 };
    // Maximum share of the backend servers that are ejected at the same time.
    double maxEjectedShare { 0 };
};

struct CustomerSettings {
    // Weight of the customer's share of the capacity, relative to the other customers.
    double weight { 1 };
    // From 0 to 9; calls with a higher priority are admitted first.
    std::uint32_t priority { 0 };
    std::uint32_t maxInFlight { 0 };
    // Time limit of calls that don't request one. Zero selects OnCallSettings::defaultDeadline.
    std::chrono::milliseconds deadline { 0 };
    std::set<std::string> models;
    std::set<std::string> services;
};

struct TeamSettings {
    std::set<std::string> sections;
    // SHA-256 of each valid token, in lower-case hexadecimal. Contains two hashes while a token is
    // being replaced.
    std::vector<std::string> tokenHashes;
};

// The configuration document in typed form.
struct Document {
    std::map<std::string, ModelSettings> models;
    std::map<std::string, ServiceSettings> services;
    // The placement settings of all models that are not in placementOfModel.
    PlacementSettings placement;
    // Only the models with their own settings. Keys that a model does not set have the values of
    // placement.
    std::map<std::string, PlacementSettings> placementOfModel;
    OnCallSettings onCall;
    std::map<std::string, CustomerSettings> customers;
    std::map<std::string, TeamSettings> teams;
};

// A problem in a document: its location, the reason and what to write instead.
struct DocumentProblem {
    std::string section;
    // Counted from the start of the document or of the section; see ConfigurationText::linesBefore.
    std::size_t line { 0 };
    std::string key;
    std::string reason;
    std::string advice;
};

struct DocumentCheck {
    Document document;
    std::vector<DocumentProblem> problems;
};

// Returns the names of all sections in alphabetical order.
const std::vector<std::string>& sectionNames();
bool isSectionName(std::string_view name);

// Throws Error(UnknownSection), with the list of valid names, if there is no such section.
void requireSectionName(const std::string& name);

// Returns "line 4, customers.customer.a.weight: is 0; write ...".
std::string formatProblem(const DocumentProblem& problem);

// Reads the complete document and checks it, including the rules between sections.
DocumentCheck checkDocument(const ConfigurationText& text);

// Returns the document. Throws Error(DocumentInvalid) that lists all problems, one per line.
Document parseDocument(const ConfigurationText& text);

// Returns the team that owns the section, if the token is one of its tokens.
// Throws Error(UnknownSection), or Error(NotSectionOwner).
std::string authorizeTeam(const ConfigurationText& text, const std::string& section, const std::string& token);

}

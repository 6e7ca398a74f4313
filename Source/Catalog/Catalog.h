#pragma once

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Damaskgrade {

// Determines whether a request of a route may be executed more than once.
enum class RequestKind {
    Idempotent,
    NonIdempotent,
    // The response is a stream of events; see Route::isResumable.
    Streaming,
};

struct WeightedService {
    std::string service;
    std::uint32_t weight { 1 };
};

// Maps the requests of one host and path prefix to services, with their timeouts and limits.
struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    RequestKind kind { RequestKind::NonIdempotent };
    std::vector<WeightedService> services;
    // Maximum time that a caller waits for the response.
    std::chrono::milliseconds timeout { 10000 };
    // A response that takes longer is counted as late.
    std::chrono::milliseconds targetLatency { 1000 };
    // A stream with a longer time between two events is counted as late; zero for no target.
    std::chrono::milliseconds targetGap { 0 };
    // Maximum number of backend servers that may execute one request.
    std::uint32_t maxAttempts { 1 };
    // 0 is the highest priority.
    std::int32_t priority { 0 };
    // Requests are accepted without a customer key.
    bool isPublic { false };
    // An interrupted stream may be resumed at another backend server.
    bool isResumable { false };
    // Requests of the route state the parts of their prompts.
    bool hasStickySessions { false };

    // Returns how long a caller waits for the first or the next event of a stream before it cancels the stream.
    std::chrono::milliseconds eventPatience() const;

    // Returns whether a request may be executed more than once.
    bool isRetryable() const { return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && isResumable); }
};

// The dimensions of a model engine as configured by the operator.
struct EngineModel {
    // Number of requests that the engine runs concurrently.
    std::uint32_t slots { 0 };
    // Number of sets of layers. The layers of a set have the same placement of experts.
    std::uint32_t expertSets { 0 };
    std::uint32_t expertsPerSet { 0 };
    std::uint32_t expertSlotsPerRank { 0 };
    // Number of experts of a set that a rank can load in addition to those in use.
    std::uint32_t spareExpertSlots { 0 };
    // The times below are 0 if the operator does not state them.
    // Number of token steps in one pass of the group, which is also the number of tokens in an event of a stream.
    std::uint32_t stepsPerPass { 1 };
    // Time of a step, without and for each running request, and for each 1,000 tokens of context.
    double stepMilliseconds { 0 };
    double requestMillisecondsPerStep { 0 };
    double contextMillisecondsPerStep { 0 };
    // Prompt tokens that are read in a second, and the additional time for a million pairs of a token and an earlier one.
    double promptTokensPerSecond { 0 };
    double millisecondsPerMillionPairs { 0 };
    // Share of the work for tokens that is done by experts.
    double expertShare { 0 };
    // Memory for the tokens of all requests of the engine.
    double tokenCapacity { 0 };
    // Mean numbers of tokens.
    double usualPromptTokens { 0 };
    double usualAnswerTokens { 0 };
    // Longest one-way delay between two availability zones of the service.
    double zoneDelayMilliseconds { 0 };
};

struct ServiceSpecification {
    std::string name;
    std::optional<EngineModel> engine;
    // How long a server is cold after its start, and how many requests per second a cold server takes from all entries
    // together. 0 for no limit.
    std::chrono::milliseconds coldStartTime { 0 };
    double coldRequestsPerSecond { 0 };
};

struct CustomerKeys {
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::int32_t> priority;
};

struct CallerLimits {
    std::size_t maxHeaderBytes { 16384 };
    std::size_t maxBodyBytes { 4194304 };
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

// The customers of a catalog. Without a list, no request needs a key; with an empty one, no key is valid.
using CustomerList = std::optional<std::vector<CustomerKeys>>;

// One version of the routes, services, customers and limits. Immutable after construction.
class Catalog {
public:
    Catalog() = default;
    Catalog(std::uint64_t version, std::vector<Route> routes, std::vector<ServiceSpecification> services,
        CustomerList customers, CallerLimits limits);

    std::uint64_t version() const { return version_; }

    // Returns the route of the host with the longest matching path prefix, or null if none matches.
    // A port in the host is ignored.
    const Route* findRoute(std::string_view host, std::string_view path) const;

    // Returns the customer to whom the key belongs, or null if the key is unknown.
    const CustomerKeys* findCustomer(std::string_view key) const;

    // Returns null if the catalog does not contain the service.
    const ServiceSpecification* findService(std::string_view name) const;

    // Returns whether requests need the key of a customer, unless their route is public.
    bool requiresKey() const { return customers_.has_value(); }
    std::size_t customerCount() const { return customers_ ? customers_->size() : 0; }
    // Number of different keys of all customers.
    std::size_t keyCount() const { return customerByKey_.size(); }
    const std::vector<Route>& routes() const { return routes_; }
    const std::vector<ServiceSpecification>& services() const { return services_; }
    const CallerLimits& limits() const { return limits_; }

private:
    std::uint64_t version_ { 0 };
    std::vector<Route> routes_;
    std::vector<ServiceSpecification> services_;
    CustomerList customers_;
    CallerLimits limits_;
    // Indexes into routes_ by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost_;
    std::unordered_map<std::string, std::size_t> customerByKey_;
};

using CatalogPointer = std::shared_ptr<const Catalog>;

}

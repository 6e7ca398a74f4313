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

// Says how often a request of a route may be executed.
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

// Where the requests of one host and path prefix go, and the limits that hold for them.
struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    RequestKind kind { RequestKind::NonIdempotent };
    std::vector<WeightedService> services;
    // Longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout { 10000 };
    // A response within this time is on time.
    std::chrono::milliseconds targetLatency { 1000 };
    // Longest pause between two events of a stream that is still on time; zero if not stated.
    std::chrono::milliseconds targetGap { 0 };
    // Backend servers that may execute one request.
    std::uint32_t maxAttempts { 1 };
    // 0 is the most urgent.
    std::int32_t priority { 0 };
    // Served without a key.
    bool isPublic { false };
    // A stream may be continued at another backend server.
    bool isResumable { false };

    // Says whether a request may be executed a second time.
    bool mayRetry() const { return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && isResumable); }
};

// The size of a model engine, as the operator states it.
struct EngineModel {
    // Requests that it runs at once.
    std::uint32_t slots { 0 };
    // Layers are grouped into sets that share a placement of experts.
    std::uint32_t expertSets { 0 };
    std::uint32_t expertsPerSet { 0 };
    std::uint32_t expertSlotsPerRank { 0 };
    // Experts of a set that a rank can load beside those in use.
    std::uint32_t spareExpertSlots { 0 };
};

struct ServiceSpecification {
    std::string name;
    std::optional<EngineModel> engine;
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

// One version of the routes, services, customers and limits. Immutable once built.
class Catalog {
public:
    Catalog() = default;
    Catalog(std::uint64_t version, std::vector<Route> routes, std::vector<ServiceSpecification> services,
        std::vector<CustomerKeys> customers, CallerLimits limits);

    std::uint64_t version() const { return version_; }

    // Returns the route with the longest prefix of the path among those of the host, or null.
    // A port in the host is ignored.
    const Route* findRoute(std::string_view host, std::string_view path) const;

    // Returns the customer that holds the key, or null.
    const CustomerKeys* findCustomer(std::string_view key) const;

    // Returns null for a service that no section describes.
    const ServiceSpecification* findService(std::string_view name) const;

    bool hasCustomers() const { return !customers_.empty(); }
    const std::vector<Route>& routes() const { return routes_; }
    const std::vector<ServiceSpecification>& services() const { return services_; }
    const CallerLimits& limits() const { return limits_; }

private:
    std::uint64_t version_ { 0 };
    std::vector<Route> routes_;
    std::vector<ServiceSpecification> services_;
    std::vector<CustomerKeys> customers_;
    CallerLimits limits_;
    // By host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost_;
    std::unordered_map<std::string, std::size_t> customerByKey_;
};

using CatalogPointer = std::shared_ptr<const Catalog>;

}

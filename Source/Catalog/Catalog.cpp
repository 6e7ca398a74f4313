#include "Catalog/Catalog.h"

#include <algorithm>
#include <utility>

namespace Damaskgrade {

namespace {

std::string hostWithoutPort(std::string_view host)
{
    return std::string(host.substr(0, host.rfind(':')));
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

}

// Callers wait for two seconds, four times the target latency or eight times the target for pauses, whichever is longest.
std::chrono::milliseconds Route::eventPatience() const
{
    constexpr std::chrono::milliseconds shortest { 2000 };
    return std::max({ shortest, 4 * targetLatency, 8 * targetGap });
}

Catalog::Catalog(std::uint64_t version, std::vector<Route> routes, std::vector<ServiceSpecification> services,
    CustomerList customers, CallerLimits limits)
    : version_(version)
    , routes_(std::move(routes))
    , services_(std::move(services))
    , customers_(std::move(customers))
    , limits_(limits)
{
    for (std::size_t i = 0; i < routes_.size(); ++i)
        routesByHost_[routes_[i].host].push_back(i);
    for (auto& [host, indexes] : routesByHost_) {
        std::sort(indexes.begin(), indexes.end(), [this](std::size_t left, std::size_t right) {
            return routes_[left].prefix.size() > routes_[right].prefix.size();
        });
    }
    for (std::size_t i = 0; i < customerCount(); ++i) {
        for (const std::string& key : (*customers_)[i].keys)
            customerByKey_.emplace(key, i);
    }
}

const Route* Catalog::findRoute(std::string_view host, std::string_view path) const
{
    auto found = routesByHost_.find(hostWithoutPort(host));
    if (found == routesByHost_.end())
        return nullptr;
    for (std::size_t index : found->second) {
        if (startsWith(path, routes_[index].prefix))
            return &routes_[index];
    }
    return nullptr;
}

const CustomerKeys* Catalog::findCustomer(std::string_view key) const
{
    auto found = customerByKey_.find(std::string(key));
    return found == customerByKey_.end() ? nullptr : &(*customers_)[found->second];
}

const ServiceSpecification* Catalog::findService(std::string_view name) const
{
    auto found = std::find_if(services_.begin(), services_.end(), [name](const ServiceSpecification& service) { return service.name == name; });
    return found == services_.end() ? nullptr : &*found;
}

}

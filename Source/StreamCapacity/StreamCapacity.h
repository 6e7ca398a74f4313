#pragma once

#include "Catalog/Catalog.h"
#include "Core/Clock.h"
#include "Fleet/FleetView.h"
#include "Forwarding/InFlightTracker.h"
#include "StreamCapacity/AdmissionReserve.h"
#include "StreamCapacity/PassTimeModel.h"
#include "StreamCapacity/StreamCapacitySettings.h"
#include "StreamCapacity/StreamWaitPolicy.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Damaskgrade {

// Bounds the requests in flight at a server so that the streams of the service have no pause above the target of its routes.
// Applies to services whose streaming routes differ in priority, unless the mode states otherwise.
class StreamCapacity {
public:
    // Called when the bound begins or ceases to apply to a service.
    using Observer = std::function<void(const std::string& service, bool isActive)>;

    StreamCapacity(const Clock& clock, const FleetView& fleet, const InFlightTracker& loads, StreamCapacitySettings settings, Observer observer);

    void applyCatalog(const Catalog& catalog);

    // Sets the number of entries that send to the same servers.
    void setEntryCount(std::size_t count);

    bool isActive(std::string_view service) const { return services_.find(service) != services_.end(); }

    // Returns the maximum number of requests in flight at the server for a request of this urgency, or std::nullopt if it is not bounded.
    std::optional<double> capacity(const ServerRecord& server, RequestUrgency urgency);

    void recordSend(const ServerRecord& server, RequestUrgency urgency);

    // Determines whether a stream for which no server has room waits on. Returns std::nullopt if the service is not bounded.
    std::optional<StreamWait> streamWait(std::string_view service, RequestUrgency urgency, const StreamWaitLimits& limits, std::uint64_t number) const;

    // Records a pause between two events that a server sent to one stream.
    void recordPause(const ServerRecord& server, Duration pause);

    void removeExpired();

    std::uint64_t recordedPauses() const { return recordedPauses_; }

    // Returns the cost of a request in a pass in milliseconds by service.
    std::map<std::string, double> requestMilliseconds() const;

private:
    // The share of this entry in what all entries together may have in flight at the servers of a service. Kept, because it
    // is asked for each server that is considered for a request.
    struct Share {
        std::optional<TimePoint> boundAt;
        double bound { 0 };
        double peersInFlight { 0 };
        std::optional<std::uint64_t> localChanges;
        double localInFlight { 0 };
    };

    struct Service {
        EngineModel engine;
        Duration targetGap;
        PassTimeModel passTime;
        AdmissionReserve reserve;
        // The mean number of requests in flight at the servers of the service is the ratio of these decaying sums.
        TimePoint loadUpdatedAt;
        double servers { 0 };
        double requests { 0 };
        Share share {};
    };

    static double meanInFlight(const Service& service);
    double slotsOf(const ServerRecord& server, const Service& service) const;
    double serverBound(const ServerRecord& server, const Service& service) const;
    void updateShare(std::string_view name, Service& service);
    bool hasShareLeft(std::string_view name, Service& service, RequestUrgency urgency);

    const Clock& clock_;
    const FleetView& fleet_;
    const InFlightTracker& loads_;
    StreamCapacitySettings settings_;
    Observer observer_;
    StreamWaitPolicy waitPolicy_;
    std::map<std::string, Service, std::less<>> services_;
    std::size_t entryCount_ { 1 };
    std::uint64_t recordedPauses_ { 0 };
};

}

#pragma once

#include "Catalog/Catalog.h"
#include "PrefixAffinity/PrefixIndex.h"

#include <gsl/span>

namespace Damaskgrade {

// A server as a candidate for a request of which it may hold a part of the prompt.
struct PrefixHolder {
    // Requests of all entries in flight at the server, and those of this entry.
    double inFlight { 0 };
    double ownInFlight { 0 };
    double slots { 0 };
    // The server has no slow start, and is not suspected or ejected.
    bool isSound { true };
};

// Returns the time that the engine needs to read this number of leading tokens of a prompt.
double readingMilliseconds(const EngineModel& engine, double tokens);

// Returns by how many milliseconds each further request in flight at a server delays a usual response, or 0 if the service
// does not state it.
double millisecondsPerRequest(const EngineModel& engine);

// Returns the share of the server's memory that the requests in flight take, or 0 if the service does not state its memory.
double memoryPressure(const EngineModel& engine, double inFlight);

// Returns the expected time that the request saves because the server holds the parts, increased by the time that the other
// requests at the server save.
double savedMilliseconds(const EngineModel& engine, gsl::span<const HeldPart> parts, const PrefixHolder& holder);

// Returns the saving as a cost in requests in flight: zero or negative. Zero if the service does not state its times, or if
// the holder is full or not sound.
double prefixCost(const EngineModel& engine, gsl::span<const HeldPart> parts, const PrefixHolder& holder);

}

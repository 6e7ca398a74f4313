#pragma once

#include "Metrics/MetricsPage.h"
#include "Transport/HttpServer.h"
#include "Transport/Link.h"

namespace Damaskgrade {

// Adds the link counters. The side is the value of the label `side`, for example "server", "peer server" or "group".
void addLinkMetrics(MetricsPage& page, const LinkCounters& counters, const std::string& side);

void addHttpMetrics(MetricsPage& page, const HttpServerCounters& counters);

// Adds the CPU time and the peak resident memory of this process.
void addProcessMetrics(MetricsPage& page);

}

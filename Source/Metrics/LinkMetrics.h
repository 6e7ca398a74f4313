#pragma once

#include "Metrics/MetricsPage.h"
#include "Transport/HttpServer.h"
#include "Transport/Link.h"

namespace Damaskgrade {

// Adds the counters of links. The side is "server" or "client".
void addLinkMetrics(MetricsPage& page, const LinkCounters& counters, const std::string& side);

void addHttpMetrics(MetricsPage& page, const HttpServerCounters& counters);

// Adds processor time and memory of this process.
void addProcessMetrics(MetricsPage& page);

}

#include "Metrics/LinkMetrics.h"

#include <sys/resource.h>

namespace Damaskgrade {

namespace {

constexpr double bytesPerKibibyte = 1024;
constexpr double microsecondsPerSecond = 1e6;

double seconds(const timeval& time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsecondsPerSecond;
}

}

void addLinkMetrics(MetricsPage& page, const LinkCounters& counters, const std::string& side)
{
    MetricLabels labels { { "side", side } };
    page.addCounter("damaskgrade_link_opened_total", "Links opened", static_cast<double>(counters.opened), labels);
    page.addCounter("damaskgrade_link_closed_total", "Links closed", static_cast<double>(counters.closed), labels);
    page.addCounter("damaskgrade_link_frames_sent_total", "Frames sent", static_cast<double>(counters.framesSent), labels);
    page.addCounter("damaskgrade_link_frames_received_total", "Frames received", static_cast<double>(counters.framesReceived), labels);
    page.addCounter("damaskgrade_link_bad_frames_total", "Frames that were refused", static_cast<double>(counters.badFrames), labels);
    page.addCounter("damaskgrade_link_failed_handshakes_total", "Links whose other side has no key", static_cast<double>(counters.failedHandshakes), labels);
    page.addCounter("damaskgrade_link_bytes_sent_total", "Bytes sent in frames", static_cast<double>(counters.bytesSent), labels);
    page.addCounter("damaskgrade_link_bytes_received_total", "Bytes received in frames", static_cast<double>(counters.bytesReceived), labels);
}

void addHttpMetrics(MetricsPage& page, const HttpServerCounters& counters)
{
    page.addGauge("damaskgrade_http_connections", "Open connections", static_cast<double>(counters.openConnections));
    page.addGauge("damaskgrade_http_active_responses", "Requests whose response has not been sent whole", static_cast<double>(counters.activeResponses));
    page.addCounter("damaskgrade_http_requests_total", "Requests received", static_cast<double>(counters.requests));
    page.addCounter("damaskgrade_http_malformed_requests_total", "Requests that could not be parsed", static_cast<double>(counters.malformedRequests));
    page.addCounter("damaskgrade_http_oversized_requests_total", "Requests above the size limit", static_cast<double>(counters.oversizedRequests));
}

void addProcessMetrics(MetricsPage& page)
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    page.addCounter("process_cpu_seconds_total", "Processor time", seconds(usage.ru_utime) + seconds(usage.ru_stime));
    page.addGauge("process_max_resident_memory_bytes", "Largest resident memory", static_cast<double>(usage.ru_maxrss) * bytesPerKibibyte);
}

}

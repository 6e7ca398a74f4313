#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Damaskgrade {

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// Collects the values of one scrape and formats them in the Prometheus text format.
// Values of the same metric must be added one after another.
class MetricsPage {
public:
    MetricsPage();
    ~MetricsPage();
    MetricsPage(const MetricsPage&) = delete;
    MetricsPage& operator=(const MetricsPage&) = delete;

    // Adds a value that only increases while the process runs.
    void addCounter(std::string_view name, std::string_view help, double value, const MetricLabels& labels = {});

    void addGauge(std::string_view name, std::string_view help, double value, const MetricLabels& labels = {});

    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

}

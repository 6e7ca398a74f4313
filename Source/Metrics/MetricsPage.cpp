#include "Metrics/MetricsPage.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace Damaskgrade {

struct MetricsPage::State {
    std::vector<prometheus::MetricFamily> families;

    prometheus::ClientMetric& add(std::string_view name, std::string_view help, prometheus::MetricType type, const MetricLabels& labels)
    {
        if (families.empty() || families.back().name != name) {
            prometheus::MetricFamily family;
            family.name = std::string(name);
            family.help = std::string(help);
            family.type = type;
            families.push_back(family);
        }
        prometheus::ClientMetric metric;
        for (const std::pair<std::string, std::string>& label : labels)
            metric.label.push_back({ label.first, label.second });
        families.back().metric.push_back(metric);
        return families.back().metric.back();
    }
};

MetricsPage::MetricsPage()
    : state_(std::make_unique<State>())
{
}

MetricsPage::~MetricsPage() = default;

void MetricsPage::addCounter(std::string_view name, std::string_view help, double value, const MetricLabels& labels)
{
    state_->add(name, help, prometheus::MetricType::Counter, labels).counter.value = value;
}

void MetricsPage::addGauge(std::string_view name, std::string_view help, double value, const MetricLabels& labels)
{
    state_->add(name, help, prometheus::MetricType::Gauge, labels).gauge.value = value;
}

std::string MetricsPage::text() const
{
    return prometheus::TextSerializer().Serialize(state_->families);
}

}

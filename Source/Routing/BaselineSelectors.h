#pragma once

#include "Core/Random.h"
#include "Routing/Selector.h"

namespace Damaskgrade {

// Baseline: each eligible server in turn.
class RoundRobinSelector : public Selector {
public:
    explicit RoundRobinSelector(const BackendServerTable& table);
    Selection select(const SelectionRequest& request) override;

private:
    const BackendServerTable& table_;
    std::string last_;
};

// Baseline: the server with the fewest calls in its last report.
class LeastReportedSelector : public Selector {
public:
    explicit LeastReportedSelector(const BackendServerTable& table);
    Selection select(const SelectionRequest& request) override;

private:
    const BackendServerTable& table_;
};

// Baseline: the one of two random servers with fewer calls in its last report plus own calls in flight.
class TwoChoicesSelector : public Selector {
public:
    TwoChoicesSelector(const BackendServerTable& table, Random& random);
    Selection select(const SelectionRequest& request) override;

private:
    const BackendServerTable& table_;
    Random& random_;
};

}

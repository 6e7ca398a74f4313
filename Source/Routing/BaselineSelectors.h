#pragma once

#include "Core/Random.h"
#include "Routing/Selector.h"

namespace Damaskgrade {

// Baseline policy: selects the eligible servers in turn.
class RoundRobinSelector : public Selector {
public:
    explicit RoundRobinSelector(const BackendServerTable& table);
    Selection select(const SelectionRequest& request) override;

private:
    const BackendServerTable& table_;
    std::string last_;
};

// Baseline policy: selects the server with the fewest calls in its last load report.
class LeastReportedSelector : public Selector {
public:
    explicit LeastReportedSelector(const BackendServerTable& table);
    Selection select(const SelectionRequest& request) override;

private:
    const BackendServerTable& table_;
};

// Baseline policy: draws two random servers and selects the one with fewer calls, counted as the calls in its last
// load report plus the calls of this entry in flight.
class TwoChoicesSelector : public Selector {
public:
    TwoChoicesSelector(const BackendServerTable& table, Random& random);
    Selection select(const SelectionRequest& request) override;

private:
    const BackendServerTable& table_;
    Random& random_;
};

}

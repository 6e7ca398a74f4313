#pragma once

#include "Core/Clock.h"
#include "Platform/Table.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Damaskgrade {

// The lease of the controller of a group: a table row with the name of the controller and a term that increases
// with each takeover. The term is the fencing token of all orders, so that the orders of a controller that was
// replaced during a process pause have no effect. The terms of a generation of the table are above those of lower ones, so
// that a term is not given out again after the table has lost the row in which it was.
class ControllerLease {
public:
    // Far more takeovers than a group has between two losses of the table.
    static constexpr std::uint64_t termsPerGeneration = 10000;

    // Returns the generation in which a term was acquired. 1 also stands for a table that states no generation.
    static StoreGeneration generationOf(std::uint64_t term) { return term / termsPerGeneration + 1; }

    // Called with the term and the name of the controller after the row was read or written.
    using Changed = std::function<void(std::uint64_t term, const std::string& controller)>;
    // Called when a read or a write of the table fails.
    using Failed = std::function<void()>;

    ControllerLease(Table& table, const std::string& group, std::string name, Changed onChanged, Failed onFailed);

    // Reads the row, and writes this controller with the next term into it if its term is not higher than knownTerm.
    // Does nothing while another operation is in progress.
    void takeOver(std::uint64_t knownTerm);

    // Reads the row. Does nothing while another operation is in progress.
    void read();

    bool isBusy() const { return isBusy_; }

private:
    void write(std::uint64_t term, RowVersion version, StoreGeneration generation);

    Table& table_;
    std::string key_;
    std::string name_;
    Changed onChanged_;
    Failed onFailed_;
    bool isBusy_ { false };
};

}

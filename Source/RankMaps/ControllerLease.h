#pragma once

#include "Core/Clock.h"
#include "Platform/Table.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Damaskgrade {

// Who controls a group: a row in the table with a term that rises with each take-over. The term is the
// fencing token of all orders, so that a controller that was replaced while it was paused can't act.
class ControllerLease {
public:
    // Called with the term and the controller when the row has been read or taken.
    using Changed = std::function<void(std::uint64_t term, const std::string& controller)>;
    // Called when the table can't be reached.
    using Failed = std::function<void()>;

    ControllerLease(Table& table, const std::string& group, std::string name, Changed onChanged, Failed onFailed);

    // Reads the row, and takes it over if it still has a term no higher than the given one.
    void takeOver(std::uint64_t knownTerm);

    // Reads the row.
    void read();

    bool isBusy() const { return isBusy_; }

private:
    void write(std::uint64_t term, RowVersion version);

    Table& table_;
    std::string key_;
    std::string name_;
    Changed onChanged_;
    Failed onFailed_;
    bool isBusy_ { false };
};

}

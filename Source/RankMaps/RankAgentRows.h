#pragma once

#include "Core/Endpoint.h"
#include "Platform/Table.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

constexpr std::string_view rankAgentRowPrefix = "rankAgents/";

// Addresses of an agent and its engine.
struct RankAgentRow {
    std::string name;
    // Part of the key, so that the rows of one group can be read by their prefix.
    std::string group;
    Endpoint link;
    Endpoint engine;
    // Empty if the row does not have it.
    std::string availabilityZone;
};

// Returns std::nullopt if the key or the value can't be parsed.
std::optional<RankAgentRow> parseRankAgentRow(const TableRow& row);
// Rows that can't be parsed are left out.
std::vector<RankAgentRow> parseRankAgentRows(const std::vector<TableRow>& rows);

// Returns the key prefix of the rows of a group.
std::string rankAgentGroupPrefix(const std::string& group);

TableWrite makeRankAgentRowWrite(const RankAgentRow& row);

}

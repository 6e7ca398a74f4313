#pragma once

#include "Core/Endpoint.h"
#include "Platform/Table.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

constexpr std::string_view rankAgentRowPrefix = "rankAgents/";

// Where an agent and its engine are found.
struct RankAgentRow {
    std::string name;
    // The rows of a group lie together, so that only they are read.
    std::string group;
    Endpoint link;
    Endpoint engine;
};

// Returns nothing for a row that another writer left or that can't be read.
std::optional<RankAgentRow> parseRankAgentRow(const TableRow& row);
std::vector<RankAgentRow> parseRankAgentRows(const std::vector<TableRow>& rows);

// Returns the prefix of the rows of a group.
std::string rankAgentGroupPrefix(const std::string& group);

TableWrite makeRankAgentRowWrite(const RankAgentRow& row);

}

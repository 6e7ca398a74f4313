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
    std::string service;
    Endpoint link;
    Endpoint engine;
};

// Returns nothing for a row that another writer left or that can't be read.
std::optional<RankAgentRow> parseRankAgentRow(const TableRow& row);
// Returns the agents of a service.
std::vector<RankAgentRow> parseRankAgentRows(const std::vector<TableRow>& rows, std::string_view service);

TableWrite writeRankAgentRow(const RankAgentRow& row);

}

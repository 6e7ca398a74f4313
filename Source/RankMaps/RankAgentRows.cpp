#include "RankMaps/RankAgentRows.h"

#include "Core/Error.h"

#include <sstream>
#include <utility>

namespace Damaskgrade {

std::optional<RankAgentRow> parseRankAgentRow(const TableRow& row)
{
    std::istringstream text(row.value);
    RankAgentRow agent;
    std::string link;
    std::string engine;
    if (row.key.size() <= rankAgentRowPrefix.size() || !(text >> agent.service >> link >> engine))
        return std::nullopt;
    agent.name = row.key.substr(rankAgentRowPrefix.size());
    try {
        agent.link = parseEndpoint(link);
        agent.engine = parseEndpoint(engine);
    } catch (const Error&) {
        return std::nullopt;
    }
    return agent;
}

std::vector<RankAgentRow> parseRankAgentRows(const std::vector<TableRow>& rows, std::string_view service)
{
    std::vector<RankAgentRow> agents;
    for (const TableRow& row : rows) {
        std::optional<RankAgentRow> agent = parseRankAgentRow(row);
        if (agent && agent->service == service)
            agents.push_back(*std::move(agent));
    }
    return agents;
}

TableWrite writeRankAgentRow(const RankAgentRow& row)
{
    return { std::string(rankAgentRowPrefix) + row.name, row.service + " " + formatEndpoint(row.link) + " " + formatEndpoint(row.engine), std::nullopt };
}

}

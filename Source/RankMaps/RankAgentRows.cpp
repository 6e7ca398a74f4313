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
    std::size_t slash = row.key.rfind('/');
    if (slash == std::string::npos || slash < rankAgentRowPrefix.size() || !(text >> link >> engine))
        return std::nullopt;
    text >> agent.availabilityZone;
    agent.group = row.key.substr(rankAgentRowPrefix.size(), slash - rankAgentRowPrefix.size());
    agent.name = row.key.substr(slash + 1);
    try {
        agent.link = parseEndpoint(link);
        agent.engine = parseEndpoint(engine);
    } catch (const Error&) {
        return std::nullopt;
    }
    return agent;
}

std::string rankAgentGroupPrefix(const std::string& group)
{
    return std::string(rankAgentRowPrefix) + group + "/";
}

std::vector<RankAgentRow> parseRankAgentRows(const std::vector<TableRow>& rows)
{
    std::vector<RankAgentRow> agents;
    for (const TableRow& row : rows) {
        std::optional<RankAgentRow> agent = parseRankAgentRow(row);
        if (agent)
            agents.push_back(*std::move(agent));
    }
    return agents;
}

TableWrite makeRankAgentRowWrite(const RankAgentRow& row)
{
    return { rankAgentGroupPrefix(row.group) + row.name, formatEndpoint(row.link) + " " + formatEndpoint(row.engine) + " " + row.availabilityZone, std::nullopt };
}

}

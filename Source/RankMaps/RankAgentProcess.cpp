#include "RankMaps/RankAgentProcess.h"

#include "Metrics/MetricsPage.h"
#include "Transport/LinkDirectory.h"

#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds logFlushPeriod { 100 };

LinkHandlers linkHandlers(GroupMember& member)
{
    LinkHandlers handlers;
    handlers.onOpen = [](const std::shared_ptr<LinkSession>&) {};
    handlers.onFrame = [&member](const std::shared_ptr<LinkSession>& session, const Frame& frame) { member.receive(session, frame); };
    handlers.onClose = [](const std::shared_ptr<LinkSession>&) {};
    return handlers;
}

}

RankAgentProcess::RankAgentProcess(EventLoop& loop, const Clock& clock, Random& random, const RankAgentSettings& settings, RankAgentPlatform platform, DecisionLog& log)
    : clock_(clock)
    , log_(log)
    , member_(
          loop, clock, random, settings, std::move(platform), [&loop, &random, keys = settings.linkKeys](ProcessLinkHooks hooks) { return std::make_unique<LinkDirectory>(loop, random, keys, std::move(hooks)); }, log)
    , server_(loop, settings.link, settings.linkKeys, linkHandlers(member_))
    , metricsServer_(loop, settings.metrics, HttpServerLimits {}, [this](std::shared_ptr<HttpExchange> exchange) {
        exchange->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metricsText() });
    })
    , logTimer_(loop.every(logFlushPeriod, [&log] { log.flush(); }))
{
    loop.onTermination([&loop, &log] {
        log.write(LogLine("stopped").add("role", "rankAgent"));
        log.flush();
        loop.stop();
    });
    log.write(LogLine("started").add("role", "rankAgent").add("version", DAMASKGRADE_VERSION).add("engine", formatEndpoint(settings.engine)));
}

RankAgentProcess::~RankAgentProcess() = default;

std::string RankAgentProcess::metricsText() const
{
    const RankAgent& agent = member_.agent();
    const GroupControl* control = member_.control();
    MetricsPage page;
    page.addGauge("damaskgrade_controls_group", "1 if this agent controls its group.", control ? 1 : 0);
    page.addGauge("damaskgrade_controller_term", "Highest term of a controller seen.", static_cast<double>(agent.term()));
    if (agent.report()) {
        page.addGauge("damaskgrade_map_version", "Version of the map in use.", static_cast<double>(agent.report()->mapVersion));
        page.addGauge("damaskgrade_group_epoch", "Epoch of the group.", static_cast<double>(agent.report()->epoch));
    }
    page.addGauge("damaskgrade_controller_silence_seconds", "Time since a message of the controller.", std::chrono::duration<double>(clock_.now() - agent.controllerLastSeen()).count());
    page.addGauge("damaskgrade_relay_links", "Agents to which this agent passes maps and requests for counts on.", static_cast<double>(member_.relayLinkCount()));
    if (control) {
        page.addGauge("damaskgrade_counted_ranks", "Ranks whose counts are in the last round.", control->countedRanks());
        page.addGauge("damaskgrade_map_change_seconds", "Duration of the last completed map change.", std::chrono::duration<double>(control->lastChangeTime()).count());
        page.addGauge("damaskgrade_expert_skew", "Load of the fullest rank over the mean, averaged over the sets.", control->skew());
        page.addCounter("damaskgrade_map_changes_started_total", "Map changes started.", static_cast<double>(control->counters().started));
        page.addCounter("damaskgrade_map_changes_completed_total", "Map changes completed.", static_cast<double>(control->counters().completed));
        page.addCounter("damaskgrade_map_changes_given_up_total", "Map changes given up.", static_cast<double>(control->counters().givenUp));
    }
    page.addCounter("damaskgrade_log_lines_dropped_total", "Log lines left out.", static_cast<double>(log_.droppedLines()));
    return page.text();
}

}

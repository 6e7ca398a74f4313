#include "Entry/ConfigurationNode.h"

#include "Configuration/ConfigurationRows.h"
#include "Configuration/Document.h"
#include "Core/Error.h"

#include <glog/logging.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds tickPeriod { 25 };
constexpr std::chrono::milliseconds tableRetryPeriod { 500 };

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        throw Error(ResultCode::SettingsInvalid, "cannot read " + path);
    return text.str();
}

}

std::string findSlotsProblem(std::vector<std::string> slots, const std::string& row)
{
    std::vector<std::string> expected;
    try {
        expected = decodeSlots(row);
    } catch (const Error& error) {
        return std::string("the slots in the table can't be read: ") + error.what();
    }
    std::sort(expected.begin(), expected.end());
    std::sort(slots.begin(), slots.end());
    return slots == expected ? "" : "--slots differs from the slots in the table, which are " + row;
}

ConfigurationNode::ConfigurationNode(EventLoop& loop, const Clock& clock, Random& random, HybridClock& hybridClock, Table& table,
    const EntrySettings& settings, ConfigurationNodeHooks hooks)
    : loop_(loop)
    , hybridClock_(hybridClock)
    , hooks_(std::move(hooks))
    , membership_(membershipSettings(settings, clock), clock, random, membershipHooks())
    , protocol_({ settings.name, settings.slots, timeLimitsForSlots(settings.slots.size()) }, table, clock, protocolHooks())
    , timer_(loop.every(tickPeriod, [this] {
        membership_.tick();
        protocol_.tick();
    }))
{
    if (!settings.initialDocument.empty())
        storeInitialDocument(table, settings);
    slotsTimer_ = loop_.every(tableRetryPeriod, [this, &table] { readSlots(table); });
}

Admission ConfigurationNode::admission() const
{
    Admission admission = protocol_.admission();
    if (!slotsProblem_.empty())
        admission = { false, admission.version, slotsProblem_ };
    return admission;
}

// Reads the slots until the table responds, and compares them once. An entry with a different list of slots
// would compute a different majority and could continue alone with an outdated version, so after a mismatch it
// admits no work until it restarts with other settings.
void ConfigurationNode::readSlots(Table& table)
{
    table.read({ slotsKey }, [this](const TableReadResult& result) {
        bool isRead = result.status == ResultCode::Ok && !result.rows.empty();
        if (isRead && slotsTimer_)
            checkSlots(result.rows.front().value);
    });
}

void ConfigurationNode::checkSlots(const std::string& row)
{
    slotsProblem_ = findSlotsProblem(membership_.slots(), row);
    if (!slotsProblem_.empty())
        LOG(ERROR) << slotsProblem_;
    loop_.post([this] { slotsTimer_ = nullptr; });
}

MembershipSettings ConfigurationNode::membershipSettings(const EntrySettings& settings, const Clock& clock) const
{
    auto sinceEpoch = clock.wallNow().time_since_epoch();
    MembershipSettings result;
    result.self = settings.name;
    result.incarnation = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count());
    result.slots = settings.slots;
    result.limits = timeLimitsForSlots(settings.slots.size());
    return result;
}

MembershipHooks ConfigurationNode::membershipHooks()
{
    MembershipHooks hooks;
    hooks.sendRequest = [this](const std::string& slot, const GossipRequest& message) {
        hooks_.send(slot, encodeMessage(message, hybridClock_.tick()));
    };
    hooks.sendGossip = [this](const std::string& slot, const GossipMessage& message) {
        hooks_.send(slot, encodeMessage(message, hybridClock_.tick()));
    };
    hooks.onDigest = [this](const std::string& slot, const std::string& digest, TimePoint asOf) {
        protocol_.observeDigest(slot, digest, asOf);
    };
    return hooks;
}

ChangeProtocolHooks ConfigurationNode::protocolHooks()
{
    ChangeProtocolHooks hooks;
    hooks.send = [this](const std::string& slot, const ConfigurationMessage& message) {
        hooks_.send(slot, encodeMessage(message, hybridClock_.tick()));
    };
    hooks.validate = [](const ConfigurationText& text) { parseDocument(text); };
    hooks.authorize = [](const ConfigurationText& text, const std::string& section, const std::string& token) {
        return authorizeTeam(text, section, token);
    };
    hooks.onInForce = [this](const DocumentPointer& document) { hooks_.onInForce(document); };
    hooks.onDigest = [this](const std::string& digest) { membership_.setDigest(digest); };
    return hooks;
}

void ConfigurationNode::receive(const std::string& peer, const Frame& frame)
{
    if (frame.type == GossipRequest::type) {
        membership_.receive(peer, decodeGossipRequest(frame.body));
        return;
    }
    if (frame.type == GossipMessage::type) {
        membership_.receive(peer, decodeGossip(frame.body));
        return;
    }
    std::optional<ConfigurationMessage> message = decodeConfigurationMessage(frame);
    if (message)
        protocol_.receive(peer, *message);
}

// Retries until the table responds. A conflict means that a configuration already exists.
void ConfigurationNode::storeInitialDocument(Table& table, const EntrySettings& settings)
{
    ConfigurationText text = ConfigurationText::split(readFile(settings.initialDocument));
    parseDocument(text);
    std::vector<TableWrite> rows = initialRows(text, settings.slots);
    initialTimer_ = loop_.every(tableRetryPeriod, [this, &table, rows] {
        table.write(rows, [this](const TableWriteResult& result) {
            if (result.status == ResultCode::TableUnavailable || !initialTimer_)
                return;
            LOG(INFO) << (result.status == ResultCode::Ok ? "stored the initial configuration" : "the table already contains a configuration");
            loop_.post([this] { initialTimer_ = nullptr; });
        });
    });
}

}

#include "MapSwitch/ExpertLoadMessages.h"

#include "Transport/CborBody.h"

namespace Damaskgrade {

using Json = nlohmann::json;

Frame encodeMessage(const ExpertLoadRequestMessage& message, HybridTime time)
{
    return makeFrame(ExpertLoadRequestMessage::type, time, { { "group", message.group }, { "skew", message.skew } });
}

ExpertLoadRequestMessage decodeExpertLoadRequest(ByteView body)
{
    return decodeBody(ExpertLoadRequestMessage::type, body, [](const Json& json) {
        ExpertLoadRequestMessage message;
        message.group = json.at("group").get<std::string>();
        message.skew = json.value("skew", 1.0);
        return message;
    });
}

Frame encodeMessage(const ExpertLoadMessage& message, HybridTime time)
{
    Json times = Json::array();
    for (std::chrono::microseconds tokenTime : message.rankTokenTimes)
        times.push_back(tokenTime.count());
    return makeFrame(ExpertLoadMessage::type, time,
        { { "group", message.group }, { "agent", message.agent }, { "tokens", message.expertTokens }, { "rankTokenUs", times } });
}

ExpertLoadMessage decodeExpertLoad(ByteView body)
{
    return decodeBody(ExpertLoadMessage::type, body, [](const Json& json) {
        ExpertLoadMessage message;
        message.group = json.at("group").get<std::string>();
        message.agent = json.at("agent").get<std::string>();
        message.expertTokens = json.at("tokens").get<std::vector<std::uint64_t>>();
        for (const Json& tokenTime : json.at("rankTokenUs"))
            message.rankTokenTimes.emplace_back(tokenTime.get<std::int64_t>());
        return message;
    });
}

}

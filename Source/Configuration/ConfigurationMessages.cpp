#include "Configuration/ConfigurationMessages.h"

#include "Configuration/DocumentJson.h"
#include "Transport/CborBody.h"

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

constexpr std::uint8_t continuationBit = 128;
constexpr int bitsPerByte = 7;
constexpr int valueBits = 64;

void writeVarint(std::string& text, std::uint64_t value)
{
    for (; value >= continuationBit; value >>= bitsPerByte)
        text += static_cast<char>(value | continuationBit);
    text += static_cast<char>(value);
}

std::optional<std::uint64_t> readVarint(std::string_view& text)
{
    std::uint64_t value = 0;
    for (int shift = 0; shift < valueBits && !text.empty(); shift += bitsPerByte) {
        std::uint8_t byte = static_cast<std::uint8_t>(text.front());
        text.remove_prefix(1);
        value |= static_cast<std::uint64_t>(byte & (continuationBit - 1)) << shift;
        if (byte < continuationBit)
            return value;
    }
    return std::nullopt;
}

Json toJson(const ProposeMessage& message)
{
    return { { "changeId", message.changeId }, { "base", message.base }, { "section", message.section }, { "text", message.text } };
}

Json toJson(const ProposeResultMessage& message)
{
    return { { "changeId", message.changeId }, { "base", message.base }, { "vote", static_cast<int>(message.vote) }, { "reason", message.reason } };
}

Json toJson(const LearnedMessage& message)
{
    return { { "version", message.version }, { "changeId", message.changeId }, { "inForce", message.inForce }, { "wantsReply", message.wantsReply } };
}

Json toJson(const DocumentRequest& message)
{
    return { { "have", message.have } };
}

Json toJson(const DocumentMessage& message)
{
    return documentToJson(message.document);
}

ProposeMessage proposeFromJson(const Json& json)
{
    ProposeMessage message;
    message.changeId = json.at("changeId").get<std::string>();
    message.base = json.at("base").get<ConfigurationVersion>();
    message.section = json.at("section").get<std::string>();
    message.text = json.at("text").get<std::string>();
    return message;
}

ProposeResultMessage proposeResultFromJson(const Json& json)
{
    ProposeResultMessage message;
    message.changeId = json.at("changeId").get<std::string>();
    message.base = json.at("base").get<ConfigurationVersion>();
    int vote = json.at("vote").get<int>();
    if (vote < 0 || vote > static_cast<int>(ProposeVote::Invalid))
        throw Error(ResultCode::BadFrame, "proposeResult message has the unknown vote " + std::to_string(vote));
    message.vote = static_cast<ProposeVote>(vote);
    message.reason = json.at("reason").get<std::string>();
    return message;
}

LearnedMessage learnedFromJson(const Json& json)
{
    LearnedMessage message;
    message.version = json.at("version").get<ConfigurationVersion>();
    message.changeId = json.at("changeId").get<std::string>();
    message.inForce = json.at("inForce").get<ConfigurationVersion>();
    message.wantsReply = json.at("wantsReply").get<bool>();
    return message;
}

DocumentRequest documentRequestFromJson(const Json& json)
{
    return { json.at("have").get<ConfigurationVersion>() };
}

template <typename Read>
ConfigurationMessage decodeAs(const Frame& frame, const Read& read)
{
    return decodeBody(frame.type.c_str(), frame.body, [&read](const Json& json) { return ConfigurationMessage(read(json)); });
}

}

Frame encodeMessage(const ConfigurationMessage& message, HybridTime time)
{
    return std::visit([time](const auto& typed) { return makeFrame(typed.type, time, toJson(typed)); }, message);
}

std::optional<ConfigurationMessage> decodeConfigurationMessage(const Frame& frame)
{
    if (frame.type == ProposeMessage::type)
        return decodeAs(frame, proposeFromJson);
    if (frame.type == ProposeResultMessage::type)
        return decodeAs(frame, proposeResultFromJson);
    if (frame.type == LearnedMessage::type)
        return decodeAs(frame, learnedFromJson);
    if (frame.type == DocumentRequest::type)
        return decodeAs(frame, documentRequestFromJson);
    if (frame.type == DocumentMessage::type)
        return decodeAs(frame, [](const Json& json) { return DocumentMessage { documentFromJson(json) }; });
    return std::nullopt;
}

std::string encodeDigest(const VersionDigest& digest)
{
    std::string text;
    writeVarint(text, digest.learned);
    // The lag of the version in force nearly always fits in one byte. Versions above 16383 need three.
    writeVarint(text, digest.learned - digest.inForce);
    return text;
}

std::optional<VersionDigest> decodeDigest(std::string_view text)
{
    std::optional<std::uint64_t> learned = readVarint(text);
    std::optional<std::uint64_t> lag = readVarint(text);
    if (!learned || !lag || *lag > *learned || !text.empty())
        return std::nullopt;
    return VersionDigest { *learned, *learned - *lag };
}

}

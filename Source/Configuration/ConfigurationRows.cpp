#include "Configuration/ConfigurationRows.h"

#include "Configuration/DocumentJson.h"
#include "Core/Error.h"

namespace Damaskgrade {

using Json = nlohmann::json;

const char* const headKey = "config/head";
const char* const slotsKey = "config/slots";

namespace {

constexpr std::size_t versionDigits = 12;

template <typename Decoder>
auto decodeRow(const char* name, std::string_view text, const Decoder& decoder)
{
    try {
        return decoder(Json::parse(text));
    } catch (const Json::exception& failure) {
        throw Error(ResultCode::DocumentInvalid, std::string(name) + " row can't be decoded: " + failure.what());
    }
}

}

std::string documentKey(ConfigurationVersion version)
{
    std::string digits = std::to_string(version);
    std::string padding(versionDigits - std::min(versionDigits, digits.size()), '0');
    return "config/doc/" + padding + digits;
}

std::string encodeHead(const HeadRow& head)
{
    return Json { { "committed", head.committed }, { "inForce", head.inForce }, { "changeId", head.changeId } }.dump();
}

HeadRow decodeHead(std::string_view text)
{
    return decodeRow(headKey, text, [](const Json& json) {
        HeadRow head;
        head.committed = json.at("committed").get<ConfigurationVersion>();
        head.inForce = json.at("inForce").get<ConfigurationVersion>();
        head.changeId = json.at("changeId").get<std::string>();
        return head;
    });
}

std::string encodeDocumentRow(const CommittedDocument& document)
{
    return documentToJson(document).dump();
}

CommittedDocument decodeDocumentRow(std::string_view text)
{
    return decodeRow("config/doc", text, documentFromJson);
}

std::string encodeSlots(const std::vector<std::string>& slots)
{
    return Json(slots).dump();
}

std::vector<std::string> decodeSlots(std::string_view text)
{
    return decodeRow(slotsKey, text, [](const Json& json) { return json.get<std::vector<std::string>>(); });
}

std::vector<TableWrite> initialRows(const ConfigurationText& text, const std::vector<std::string>& slots)
{
    CommittedDocument document;
    document.version = 1;
    document.changeId = "initial";
    document.text = text;
    for (const auto& [section, sectionText] : text.sections())
        document.sectionVersions[section] = 1;
    return { { headKey, encodeHead({ 1, 1, document.changeId }), absentVersion },
        { documentKey(1), encodeDocumentRow(document), absentVersion },
        { slotsKey, encodeSlots(slots), absentVersion } };
}

}

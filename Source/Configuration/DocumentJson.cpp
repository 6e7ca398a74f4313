#include "Configuration/DocumentJson.h"

namespace Damaskgrade {

using Json = nlohmann::json;

Json documentToJson(const CommittedDocument& document)
{
    return { { "version", document.version }, { "changeId", document.changeId }, { "section", document.section },
        { "sectionVersions", document.sectionVersions }, { "sections", document.text.sections() } };
}

CommittedDocument documentFromJson(const Json& json)
{
    CommittedDocument document;
    document.version = json.at("version").get<ConfigurationVersion>();
    document.changeId = json.at("changeId").get<std::string>();
    document.section = json.at("section").get<std::string>();
    document.sectionVersions = json.at("sectionVersions").get<std::map<std::string, ConfigurationVersion>>();
    document.text = ConfigurationText::fromSections(json.at("sections").get<std::map<std::string, std::string>>());
    return document;
}

}

#pragma once

#include "Configuration/ConfigurationMessages.h"

#include <nlohmann/json.hpp>

namespace Damaskgrade {

// The JSON form of a committed document in messages and in table rows. Include this header only in
// the source files of the codecs, because the JSON header is slow to compile. documentFromJson()
// throws nlohmann::json::exception if the JSON does not have the expected form.
nlohmann::json documentToJson(const CommittedDocument& document);
CommittedDocument documentFromJson(const nlohmann::json& json);

}

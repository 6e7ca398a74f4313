#pragma once

#include "Configuration/ConfigurationMessages.h"

#include <nlohmann/json.hpp>

namespace Damaskgrade {

// The form of a committed document in messages and in table rows. For source files of the
// codecs only: the header is heavy. Reading throws nlohmann::json::exception.
nlohmann::json documentToJson(const CommittedDocument& document);
CommittedDocument documentFromJson(const nlohmann::json& json);

}

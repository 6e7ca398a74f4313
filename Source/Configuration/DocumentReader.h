#pragma once

#include "Configuration/Document.h"

namespace Damaskgrade {

// Reads each section into its typed form and notes problems within the section.
DocumentCheck readDocument(const ConfigurationText& text);

// Returns the line of a key, counted from the start of its section, or of the nearest table around it.
std::size_t findLine(const ConfigurationText& text, const std::string& section, const std::vector<std::string>& path);

}

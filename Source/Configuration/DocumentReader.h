#pragma once

#include "Configuration/Document.h"

namespace Damaskgrade {

// Reads each section into its typed form and collects the problems within each section.
DocumentCheck readDocument(const ConfigurationText& text);

// Returns the line of a key, counted from 1 at the start of its section. If the key does not exist,
// returns the line of the innermost existing table that would contain it.
std::size_t findLine(const ConfigurationText& text, const std::string& section, const std::vector<std::string>& path);

}

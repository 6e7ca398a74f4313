#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

// The text of a configuration document, stored by section, so that the text and comments of each
// team are preserved exactly.
class ConfigurationText {
public:
    // Splits a complete document. Each section is one contiguous block that starts with its header.
    // Comments and blank lines directly before the header belong to the section.
    // Throws Error(DocumentInvalid) if the text is not valid TOML, if a section is split or missing,
    // or if there is an unknown section.
    static ConfigurationText split(std::string_view document);

    // Returns a copy in which the text of one section is replaced.
    // Throws Error(UnknownSection), or Error(DocumentInvalid) if the text is not valid TOML, is empty
    // or contains other sections.
    ConfigurationText withSection(const std::string& section, const std::string& text) const;

    // Returns the text of a section, or an empty text if it has none. Throws Error(UnknownSection).
    const std::string& section(const std::string& name) const;

    // Returns the text of each section, by name.
    const std::map<std::string, std::string>& sections() const { return sections_; }

    // Creates a text from stored sections without checking them.
    static ConfigurationText fromSections(std::map<std::string, std::string> sections);

    // Returns the complete document.
    std::string join() const;

    // Returns the number of lines before a section in the document that split() read. Returns 0 for
    // texts from other sources, where lines are counted from the start of the section.
    std::size_t linesBefore(const std::string& section) const;

private:
    std::map<std::string, std::string> sections_;
    std::map<std::string, std::size_t> linesBefore_;
};

bool operator==(const ConfigurationText& left, const ConfigurationText& right);

}

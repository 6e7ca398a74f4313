#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace Damaskgrade {

// The text of a configuration document, kept by section, so that each team's text and
// comments stay as the team wrote them.
class ConfigurationText {
public:
    // Splits a whole document. Each section is one block that starts with its header.
    // Throws Error(DocumentInvalid) if the text is no TOML, if a section is split or missing,
    // or if it has a section that is not known.
    static ConfigurationText split(std::string_view document);

    // Returns a copy in which one section has another text.
    // Throws Error(UnknownSection), or Error(DocumentInvalid) if the text holds more than this section.
    ConfigurationText withSection(const std::string& section, const std::string& text) const;

    // Returns the text of a section. Throws Error(UnknownSection).
    const std::string& section(const std::string& name) const;

    const std::map<std::string, std::string>& sections() const { return sections_; }

    // Rebuilds a text from its sections as stored. Does not check them.
    static ConfigurationText fromSections(std::map<std::string, std::string> sections);

    // Returns the whole document.
    std::string join() const;

    // Returns how many lines preceded a section in the document that split() read. 0 for other
    // texts: there, lines count from the start of the section.
    std::size_t linesBefore(const std::string& section) const;

private:
    std::map<std::string, std::string> sections_;
    std::map<std::string, std::size_t> linesBefore_;
};

bool operator==(const ConfigurationText& left, const ConfigurationText& right);

}

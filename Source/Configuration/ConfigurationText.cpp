#include "Configuration/ConfigurationText.h"

#include "Configuration/Document.h"
#include "Core/Error.h"

#include <toml++/toml.h>

#include <algorithm>
#include <vector>

namespace Damaskgrade {

namespace {

std::vector<std::string> splitLines(std::string_view text)
{
    std::vector<std::string> lines;
    while (!text.empty()) {
        std::size_t end = std::min(text.find('\n'), text.size() - 1);
        lines.emplace_back(text.substr(0, end + 1));
        text.remove_prefix(end + 1);
    }
    return lines;
}

// Returns the section whose header is on this line, or an empty text. A line of a multi-line value
// that looks like the header of another section is also taken for one. The parts of the value are
// then invalid TOML, which requireOnlySection() reports unless split() rejects the section first.
std::string headerSection(const std::string& line)
{
    if (line.empty() || line.front() != '[')
        return {};
    std::size_t start = line.find_first_not_of("[ ");
    std::size_t end = line.find_first_of(".] ", start);
    if (start == std::string::npos || end == std::string::npos)
        return {};
    std::string name = line.substr(start, end - start);
    return isSectionName(name) ? name : std::string();
}

bool isComment(const std::string& line)
{
    return !line.empty() && line.front() == '#';
}

[[noreturn]] void throwInvalid(std::size_t line, const std::string& key, std::string_view reason)
{
    std::string message = "line " + std::to_string(line) + ", ";
    message.append(key).append(": ").append(reason);
    throw Error(ResultCode::DocumentInvalid, message);
}

// Throws Error(DocumentInvalid) unless the text is valid TOML that contains only this section.
void requireOnlySection(const std::string& section, const std::string& text, std::size_t linesBefore)
{
    std::string outside = "is outside section ";
    outside.append(section).append("; write only keys under [").append(section).append("]");
    try {
        toml::table table = toml::parse(text);
        for (const auto& [key, value] : table) {
            if (key.str() != section)
                throwInvalid(linesBefore + key.source().begin.line, std::string(key.str()), outside);
        }
        if (table.empty())
            throw Error(ResultCode::DocumentInvalid, "section " + section + " is empty; write its tables, each with a header in brackets");
    } catch (const toml::parse_error& failure) {
        std::string reason = "is not valid TOML: " + std::string(failure.description());
        throwInvalid(linesBefore + failure.source().begin.line, "section " + section, reason + "; correct the line");
    }
}

}

ConfigurationText ConfigurationText::split(std::string_view document)
{
    ConfigurationText result;
    std::string current;
    // Comments and blank lines that may belong to the next section.
    std::string pending;
    std::size_t pendingLines = 0;
    std::size_t lineNumber = 0;
    for (const std::string& line : splitLines(document)) {
        std::string section = headerSection(line);
        bool startsSection = !section.empty() && section != current;
        if (startsSection && result.sections_.count(section) > 0)
            throwInvalid(lineNumber + 1, section, "the section is split into several parts; write all its tables together");
        if (startsSection) {
            result.linesBefore_[section] = lineNumber - pendingLines;
            current = section;
        }
        ++lineNumber;
        bool isPending = !startsSection && (isComment(line) || current.empty() || line == "\n");
        pending += line;
        pendingLines = isPending ? pendingLines + 1 : 0;
        if (isPending)
            continue;
        result.sections_[current] += pending;
        pending.clear();
    }
    if (!current.empty())
        result.sections_[current] += pending;
    for (const std::string& name : sectionNames()) {
        if (result.sections_.count(name) == 0)
            throw Error(ResultCode::DocumentInvalid, "section " + name + " is missing; write its tables, each with a header in brackets");
        requireOnlySection(name, result.sections_[name], result.linesBefore_[name]);
    }
    return result;
}

ConfigurationText ConfigurationText::withSection(const std::string& section, const std::string& text) const
{
    requireSectionName(section);
    requireOnlySection(section, text, 0);
    ConfigurationText result = *this;
    result.sections_[section] = text;
    if (text.back() != '\n')
        result.sections_[section] += '\n';
    result.linesBefore_.clear();
    return result;
}

const std::string& ConfigurationText::section(const std::string& name) const
{
    requireSectionName(name);
    static const std::string emptyText;
    auto section = sections_.find(name);
    return section == sections_.end() ? emptyText : section->second;
}

ConfigurationText ConfigurationText::fromSections(std::map<std::string, std::string> sections)
{
    ConfigurationText result;
    result.sections_ = std::move(sections);
    return result;
}

std::string ConfigurationText::join() const
{
    std::string document;
    for (const auto& [name, text] : sections_)
        document += text;
    return document;
}

std::size_t ConfigurationText::linesBefore(const std::string& section) const
{
    auto lines = linesBefore_.find(section);
    return lines == linesBefore_.end() ? 0 : lines->second;
}

bool operator==(const ConfigurationText& left, const ConfigurationText& right)
{
    return left.sections() == right.sections();
}

}

#include "Configuration/TomlTableReader.h"

#include <cmath>
#include <sstream>

namespace Damaskgrade {

namespace {

std::string formatNumber(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

template <typename Number>
std::string rangeAdvice(const char* kind, Number minimum, Number maximum)
{
    return std::string("write ") + kind + " from " + formatNumber(static_cast<double>(minimum)) + " to " + formatNumber(static_cast<double>(maximum));
}

}

TomlTableReader::TomlTableReader(const toml::table& table, std::string path, std::string section, std::size_t linesBefore, std::vector<DocumentProblem>& problems)
    : table_(table)
    , path_(std::move(path))
    , section_(std::move(section))
    , linesBefore_(linesBefore)
    , problems_(problems)
{
}

std::int64_t TomlTableReader::integer(const std::string& key, std::int64_t minimum, std::int64_t maximum)
{
    std::string advice = rangeAdvice("an integer", minimum, maximum);
    const toml::node* node = find(key, advice);
    if (!node)
        return minimum;
    std::optional<std::int64_t> value = node->value_exact<std::int64_t>();
    if (value && *value >= minimum && *value <= maximum)
        return *value;
    addProblem(key, value ? "is " + std::to_string(*value) : "is not an integer", advice);
    return minimum;
}

double TomlTableReader::number(const std::string& key, double minimum, double maximum)
{
    std::string advice = rangeAdvice("a number", minimum, maximum);
    const toml::node* node = find(key, advice);
    if (!node)
        return minimum;
    std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
    if (value && std::isfinite(*value) && *value >= minimum && *value <= maximum)
        return *value;
    addProblem(key, value ? "is " + formatNumber(*value) : "is not a number", advice);
    return minimum;
}

bool TomlTableReader::boolean(const std::string& key)
{
    const char* advice = "write true or false";
    const toml::node* node = find(key, advice);
    if (node && !node->is_boolean())
        addProblem(key, "is neither true nor false", advice);
    return node && node->value_exact<bool>().value_or(false);
}

std::vector<std::string> TomlTableReader::names(const std::string& key, bool isRequired)
{
    const char* advice = "write a list of names, such as [\"a\", \"b\"]";
    const toml::node* node = find(key, advice, isRequired);
    if (!node)
        return {};
    std::vector<std::string> names;
    const toml::array* list = node->as_array();
    bool isValid = list && !list->empty();
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        std::optional<std::string> name = list->get(index)->value_exact<std::string>();
        isValid = isValid && name && !name->empty();
        names.push_back(name.value_or(""));
    }
    if (isValid)
        return names;
    addProblem(key, "is not a list of names", advice);
    return {};
}

void TomlTableReader::child(const std::string& key, bool isRequired, const std::function<void(TomlTableReader&)>& callback)
{
    std::string advice = "write a table [" + path_ + "." + key + "]";
    const toml::node* node = find(key, advice, isRequired);
    if (!node)
        return;
    const toml::table* table = node->as_table();
    if (!table)
        return addProblem(key, "is not a table", advice);
    TomlTableReader reader(*table, path_ + "." + key, section_, linesBefore_, problems_);
    callback(reader);
    reader.finish();
}

void TomlTableReader::children(const std::function<void(const std::string&, TomlTableReader&)>& callback)
{
    for (const auto& [key, value] : table_) {
        std::string name(key.str());
        child(name, true, [&name, &callback](TomlTableReader& reader) { callback(name, reader); });
    }
}

void TomlTableReader::finish()
{
    std::string knownKeys;
    for (const std::string& key : knownKeys_)
        knownKeys += (knownKeys.empty() ? "" : ", ") + key;
    for (const auto& [key, value] : table_) {
        if (knownKeys_.count(std::string(key.str())) == 0)
            addProblem(std::string(key.str()), "is not a known key", "write one of: " + knownKeys);
    }
}

void TomlTableReader::addProblem(const std::string& key, const std::string& reason, const std::string& advice)
{
    problems_.push_back({ section_, lineOf(key), key.empty() ? path_ : path_ + "." + key, reason, advice });
}

const toml::node* TomlTableReader::find(const std::string& key, const std::string& advice, bool isRequired)
{
    knownKeys_.insert(key);
    const toml::node* node = table_.get(key);
    if (!node && isRequired)
        addProblem(key, "is missing", advice);
    return node;
}

// Returns the line of the key, or the line of its table if the key is missing.
std::size_t TomlTableReader::lineOf(const std::string& key) const
{
    for (const auto& [name, value] : table_) {
        if (name.str() == key)
            return linesBefore_ + name.source().begin.line;
    }
    return linesBefore_ + std::max<std::size_t>(1, table_.source().begin.line);
}

}

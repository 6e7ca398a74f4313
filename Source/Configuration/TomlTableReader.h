#pragma once

#include "Configuration/Document.h"

#include <toml++/toml.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace Damaskgrade {

// Reads the keys of one TOML table and records each problem with its line. Unknown keys are
// reported, because a misspelt key would otherwise be ignored silently.
class TomlTableReader {
public:
    TomlTableReader(const toml::table& table, std::string path, std::string section, std::size_t linesBefore, std::vector<DocumentProblem>& problems);

    // These functions record a problem if the key is missing or invalid, and then return the minimum,
    // false or an empty list. A list may be missing if it is not required.
    std::int64_t integer(const std::string& key, std::int64_t minimum, std::int64_t maximum);
    double number(const std::string& key, double minimum, double maximum);
    bool boolean(const std::string& key);
    std::vector<std::string> names(const std::string& key, bool isRequired);

    bool has(const std::string& key) const { return table_.contains(key); }

    // Calls the callback with a reader of the table under the key. Records a problem if a required
    // table is missing.
    void child(const std::string& key, bool isRequired, const std::function<void(TomlTableReader&)>& callback);

    // Calls the callback with the name and a reader of each table in this table. All keys count as known.
    void children(const std::function<void(const std::string&, TomlTableReader&)>& callback);

    // Records a problem for each key that was never read.
    void finish();

    void addProblem(const std::string& key, const std::string& reason, const std::string& advice);

private:
    const toml::node* find(const std::string& key, const std::string& advice, bool isRequired = true);
    std::size_t lineOf(const std::string& key) const;

    const toml::table& table_;
    std::string path_;
    std::string section_;
    std::size_t linesBefore_;
    std::vector<DocumentProblem>& problems_;
    std::set<std::string> knownKeys_;
};

}

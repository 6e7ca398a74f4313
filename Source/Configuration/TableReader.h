#pragma once

#include "Configuration/Document.h"

#include <toml++/toml.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace Damaskgrade {

// Reads the keys of one TOML table and notes each problem with its line. Unknown keys are a
// problem, because a misspelt key would otherwise have no effect without a word.
class TableReader {
public:
    TableReader(const toml::table& table, std::string path, std::string section, std::size_t linesBefore, std::vector<DocumentProblem>& problems);

    // Each returns the smallest allowed value if the key is missing or wrong.
    std::int64_t integer(const std::string& key, std::int64_t minimum, std::int64_t maximum);
    double number(const std::string& key, double minimum, double maximum);
    bool boolean(const std::string& key);
    std::vector<std::string> names(const std::string& key, bool isRequired);

    bool has(const std::string& key) const { return table_.contains(key); }

    // Calls the step with a reader of the table under the key. A missing table is a problem if it is required.
    void child(const std::string& key, bool isRequired, const std::function<void(TableReader&)>& callback);

    // Calls the step with the name and a reader of each table in this one. Marks all keys as known.
    void children(const std::function<void(const std::string&, TableReader&)>& callback);

    // Notes the keys that were not asked for.
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

#include "Core/ResultCode.h"

#include <doctest/doctest.h>

#include <fstream>
#include <regex>

namespace Damaskgrade {

// Guards against a result code that is returned to callers but not documented.
TEST_CASE("the documented result codes match the program")
{
    std::ifstream file(std::string(DAMASKGRADE_TEST_DIRECTORY) + "/../../docs/result-codes.md");
    std::string line;
    std::regex pattern("\\| (\\d+) \\| (\\w+) \\| (\\d+) \\|.*");
    int rows = 0;
    while (std::getline(file, line)) {
        std::smatch match;
        if (!std::regex_match(line, match, pattern))
            continue;
        ++rows;
        ResultCode code = static_cast<ResultCode>(std::stoi(match[1]));
        CHECK(resultName(code) == match[2].str());
        CHECK(httpStatus(code) == std::stoi(match[3]));
    }
    CHECK(rows >= 48);
}

}

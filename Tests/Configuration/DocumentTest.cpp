#include "Configuration/Document.h"
#include "Core/Error.h"

#include <doctest/doctest.h>

#include <fstream>
#include <functional>
#include <sstream>

namespace Damaskgrade {

namespace {

std::string readExample(const std::string& name)
{
    std::ifstream file(DAMASKGRADE_TEST_DIRECTORY "/../../Examples/" + name);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// Replaces the first occurrence. Fails the test if there is none.
std::string replace(std::string text, const std::string& from, const std::string& to)
{
    std::size_t position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

// Returns the problems of the Vitosha example after one replacement.
std::string problemsAfter(const std::string& from, const std::string& to)
{
    std::string text = replace(readExample("vitosha.toml"), from, to);
    try {
        parseDocument(ConfigurationText::split(text));
    } catch (const Error& error) {
        CHECK(error.code() == ResultCode::DocumentInvalid);
        return error.what();
    }
    return "none";
}

ResultCode codeOf(const std::function<void()>& action)
{
    try {
        action();
    } catch (const Error& error) {
        return error.code();
    }
    return ResultCode::Ok;
}

}

TEST_CASE("the example documents are valid and their text is preserved")
{
    for (const char* name : { "vitosha.toml", "tubolimpo.toml" }) {
        std::string text = readExample(name);
        ConfigurationText split = ConfigurationText::split(text);
        CHECK(split.join() == text);
        Document document = parseDocument(split);
        CHECK(document.customers.size() == 10);
        CHECK(document.teams.size() == 5);
    }
    Document vitosha = parseDocument(ConfigurationText::split(readExample("vitosha.toml")));
    CHECK(!vitosha.services.at("stock").operations.at("reserve").isIdempotent);
    CHECK(vitosha.services.at("stock").operations.at("lookup").isIdempotent);
    CHECK(vitosha.placement.skewWeight > vitosha.placement.costWeight);
    // The settings of a model override the default.
    CHECK(vitosha.placementOfModel.at("notice-summarizer").skewWeight == 1);
    CHECK(vitosha.placementOfModel.at("notice-summarizer").maxMovedMebibytes == 8192);
    Document tubolimpo = parseDocument(ConfigurationText::split(readExample("tubolimpo.toml")));
    CHECK(tubolimpo.placement.costWeight > tubolimpo.placement.skewWeight);
}

// Error messages must show the operator the location of the problem and the correction.
TEST_CASE("each problem shows line, key, reason and correction")
{
    CHECK(problemsAfter("weight = 8", "weight = 0")
        == "line 6, customers.sofia-central.weight: is 0; write a number from 0.01 to 1000");
    CHECK(problemsAfter("weight = 8", "weight = nan")
        == "line 6, customers.sofia-central.weight: is nan; write a number from 0.01 to 1000");
    CHECK(problemsAfter("priority = 6", "priority = 6.5")
        == "line 7, customers.sofia-central.priority: is not an integer; write an integer from 0 to 9");
    CHECK(problemsAfter("weight = 8\n", "")
        == "line 5, customers.sofia-central.weight: is missing; write a number from 0.01 to 1000");
    CHECK(problemsAfter("weight = 8", "weigth = 8").find("line 6, customers.sofia-central.weigth: is not a known key; write one of: deadline_ms, max_in_flight") != std::string::npos);
    CHECK(problemsAfter("idempotent = false", "idempotent = \"no\"").find("models.service.stock.operation.reserve.idempotent: is neither true nor false; write true or false") != std::string::npos);
    CHECK(problemsAfter("weight = 8", "weight = = 8").find("line 6, section customers: is not valid TOML") != std::string::npos);
    CHECK(problemsAfter("[oncall.drain]", "[drain]").find("drain: is outside section oncall; write only keys under [oncall]") != std::string::npos);
}

// Sections that are valid on their own can contradict each other.
TEST_CASE("rules between sections are checked")
{
    CHECK(problemsAfter("services = [\"stock\", \"cross-reference\"]", "services = [\"stocks\"]")
        == "line 11, customers.sofia-central.services: lists stocks, which section models does not contain; write one of: cross-reference, stock");
    CHECK(problemsAfter("deadline_ms = 60000", "deadline_ms = 60001").find("customers.night-digest.deadline_ms: exceeds max_deadline_ms of section oncall; write at most 60000") != std::string::npos);
    CHECK(problemsAfter("limit_s = 90", "limit_s = 59").find("oncall.drain.limit_s: is shorter than the longest call; write at least 60") != std::string::npos);
    CHECK(problemsAfter("groups = [\"notices-1\"]", "groups = [\"parts-2\"]").find("group parts-2 also serves notice-summarizer; list each group under one model") != std::string::npos);
    CHECK(problemsAfter("[scheduling.model.notice-summarizer]", "[scheduling.model.notices]").find("there is no model of this name; write one of: notice-summarizer, parts-assistant") != std::string::npos);
    CHECK(problemsAfter("sections = [\"models\"]", "sections = [\"models\", \"oncall\"]").find("section oncall belongs to model-owners, on-call; assign it to one team") != std::string::npos);
    CHECK(problemsAfter("sections = [\"oncall\"]", "sections = [\"customers\"]").find("has no team for section oncall") != std::string::npos);
    CHECK(problemsAfter("expert_slots_per_rank = 10", "expert_slots_per_rank = 7").find("8 ranks with 7 expert slots can't hold 64 experts; write at least 8") != std::string::npos);
}

// A change of one section must neither alter other sections nor define keys in them.
TEST_CASE("replacing a section leaves the others unchanged")
{
    ConfigurationText text = ConfigurationText::split(readExample("vitosha.toml"));
    std::string changed = replace(text.section("oncall"), "share = 0.2", "share = 0.1");
    ConfigurationText result = text.withSection("oncall", changed);
    CHECK(parseDocument(result).onCall.retryShare == 0.1);
    for (const std::string& section : sectionNames()) {
        if (section != "oncall")
            CHECK(result.section(section) == text.section(section));
    }
    CHECK(codeOf([&] { text.withSection("oncall", changed + "[teams.intruder]\n"); }) == ResultCode::DocumentInvalid);
    CHECK(codeOf([&] { text.withSection("oncall", ""); }) == ResultCode::DocumentInvalid);
    CHECK(codeOf([&] { text.withSection("weather", changed); }) == ResultCode::UnknownSection);
    // After a replacement, lines are counted from the first line of the section.
    DocumentCheck check = checkDocument(text.withSection("oncall", replace(changed, "share = 0.1", "share = 2")));
    REQUIRE(check.problems.size() == 1);
    CHECK(check.problems.front().line == 14);
}

// A team must not be able to change the section of another team.
TEST_CASE("only a token of the owning team authorizes a change of a section")
{
    ConfigurationText text = ConfigurationText::split(readExample("vitosha.toml"));
    CHECK(authorizeTeam(text, "oncall", "vitosha-on-call-example") == "on-call");
    CHECK(codeOf([&] { authorizeTeam(text, "oncall", "vitosha-schedulers-example"); }) == ResultCode::NotSectionOwner);
    CHECK(codeOf([&] { authorizeTeam(text, "oncall", ""); }) == ResultCode::NotSectionOwner);
    CHECK(codeOf([&] { authorizeTeam(text, "weather", "vitosha-on-call-example"); }) == ResultCode::UnknownSection);
}

}

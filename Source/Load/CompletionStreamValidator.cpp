#include "Load/CompletionStreamValidator.h"

#include <nlohmann/json.hpp>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

// Returns the text of a completion event: {"text"} or one of the forms {"choices": [{"text"}]}
// and {"choices": [{"delta": {"content"}}]}.
std::string extractText(const Json& json)
{
    if (json.contains("text"))
        return json.at("text").get<std::string>();
    if (!json.contains("choices") || json.at("choices").empty())
        return "";
    const Json& choice = json.at("choices").at(0);
    if (choice.contains("text"))
        return choice.at("text").get<std::string>();
    return choice.contains("delta") ? choice.at("delta").value("content", "") : "";
}

ReportedError extractError(const Json& json)
{
    ReportedError error;
    error.code = static_cast<ResultCode>(json.value("code", resultNumber(ResultCode::Internal)));
    std::string executed = json.value("executed", "unknown");
    if (executed != "unknown")
        error.executed = executed == "yes" ? Executed::Yes : Executed::No;
    return error;
}

}

ReportedError parseReportedError(std::string_view text)
{
    Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return {};
    try {
        return extractError(json);
    } catch (const Json::exception&) {
        return {};
    }
}

bool CompletionStreamValidator::addEvent(const ServerSentEvent& event)
{
    if (isDone_ || hasError_) {
        isMalformed_ = true;
        return false;
    }
    if (!event.id.empty())
        lastId_ = event.id;
    if (event.data == "[DONE]") {
        isDone_ = true;
        return false;
    }
    try {
        Json json = Json::parse(event.data);
        if (event.event == "error" || json.contains("code") || json.contains("error")) {
            hasError_ = true;
            error_ = extractError(json.contains("error") && json.at("error").is_object() ? json.at("error") : json);
            return false;
        }
        isMalformed_ = isMalformed_ || json.value("offset", text_.size()) != text_.size();
        std::string part = extractText(json);
        text_ += part;
        return !part.empty();
    } catch (const Json::exception&) {
        isMalformed_ = true;
        return false;
    }
}

}

#include "Calls/ClaimRecord.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <tuple>
#include <vector>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

bool isUnreserved(char character)
{
    bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || character == '-' || character == '_' || character == '.';
}

// Callers define the keys, so they may contain any byte, including the separator and invalid UTF-8.
std::string escape(std::string_view part)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string text;
    for (char character : part) {
        if (isUnreserved(character)) {
            text += character;
            continue;
        }
        unsigned char byte = static_cast<unsigned char>(character);
        text += '%';
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

}

bool operator==(const ClaimRecord& left, const ClaimRecord& right)
{
    return std::tie(left.fingerprint, left.attempt, left.owner, left.ticket, left.state, left.code, left.answer)
        == std::tie(right.fingerprint, right.attempt, right.owner, right.ticket, right.state, right.code, right.answer);
}

std::string encodeClaim(const ClaimRecord& record)
{
    Json json = { { "fingerprint", record.fingerprint }, { "attempt", record.attempt }, { "owner", record.owner },
        { "agent", record.ticket.agent }, { "incarnation", record.ticket.incarnation },
        { "session", record.ticket.session }, { "sequence", record.ticket.sequence },
        { "state", static_cast<int>(record.state) }, { "code", resultNumber(record.code) }, { "answer", record.answer } };
    try {
        return json.dump();
    } catch (const Json::type_error&) {
        // The answer is not valid UTF-8. Storing it as a list of bytes preserves it.
        json["answer"] = std::vector<std::uint8_t>(record.answer.begin(), record.answer.end());
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
}

ClaimRecord decodeClaim(std::string_view text)
{
    try {
        Json json = Json::parse(text);
        ClaimRecord record;
        record.fingerprint = json.at("fingerprint").get<std::uint64_t>();
        record.attempt = json.at("attempt").get<std::uint32_t>();
        record.owner = json.at("owner").get<std::string>();
        record.ticket.agent = json.at("agent").get<std::string>();
        record.ticket.incarnation = json.at("incarnation").get<std::string>();
        record.ticket.session = json.at("session").get<std::uint64_t>();
        record.ticket.sequence = json.at("sequence").get<std::uint64_t>();
        int state = json.at("state").get<int>();
        if (state < 0 || state > static_cast<int>(ClaimState::Released))
            throw Error(ResultCode::BadFrame, "claim row has unknown state " + std::to_string(state));
        record.state = static_cast<ClaimState>(state);
        record.code = static_cast<ResultCode>(json.at("code").get<std::uint16_t>());
        const Json& answer = json.at("answer");
        if (answer.is_array()) {
            std::vector<std::uint8_t> bytes = answer.get<std::vector<std::uint8_t>>();
            record.answer.assign(bytes.begin(), bytes.end());
        } else
            record.answer = answer.get<std::string>();
        return record;
    } catch (const Json::exception& failure) {
        throw Error(ResultCode::BadFrame, std::string("claim row can't be decoded: ") + failure.what());
    }
}

std::string claimRowKey(std::string_view customer, std::string_view service, std::string_view operation, std::string_view key)
{
    return "claim/" + escape(customer) + "/" + escape(service) + "/" + escape(operation) + "/" + escape(key);
}

std::uint64_t requestFingerprint(std::string_view operation, std::string_view payload)
{
    return XXH3_64bits_withSeed(payload.data(), payload.size(), XXH3_64bits(operation.data(), operation.size()));
}

}

#pragma once

#include "Core/Error.h"
#include "Transport/Frame.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Damaskgrade {

// Returns a frame with the body encoded as CBOR. Include this header only in source files that encode or decode
// messages, because it includes the JSON library, which is slow to compile.
inline Frame makeFrame(const char* type, HybridTime time, const nlohmann::json& body)
{
    return { type, time, nlohmann::json::to_cbor(body) };
}

// Decodes a CBOR message body and returns the result of the decoder, which reads the fields.
// Throws Error(BadFrame) if the body is not a CBOR map or a field is missing.
template <typename Decoder>
auto decodeBody(const char* type, ByteView body, const Decoder& decode)
{
    try {
        return decode(nlohmann::json::from_cbor(body.begin(), body.end()));
    } catch (const nlohmann::json::exception& failure) {
        throw Error(ResultCode::BadFrame, std::string(type) + " message can't be decoded: " + failure.what());
    }
}

// Converts a number to an enumeration whose values count up from 0 to `last`.
// Throws Error(BadFrame) if the number is not a value of the enumeration.
template <typename Enumeration>
Enumeration enumerationFromJson(const nlohmann::json& json, Enumeration last)
{
    int number = json.get<int>();
    if (number < 0 || number > static_cast<int>(last))
        throw Error(ResultCode::BadFrame, "message has the unknown value " + std::to_string(number));
    return static_cast<Enumeration>(number);
}

}

#pragma once

#include "Core/Error.h"
#include "Transport/Frame.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Damaskgrade {

// Encodes a message body as CBOR. For message source files only: the header is heavy.
inline Frame makeFrame(const char* type, HybridTime time, const nlohmann::json& body)
{
    return { type, time, nlohmann::json::to_cbor(body) };
}

// Decodes a message body and passes it to the step that reads its fields.
// Throws Error(BadFrame) if the body is no CBOR map or lacks a field.
template <typename Decoder>
auto decodeBody(const char* type, ByteView body, const Decoder& decode)
{
    try {
        return decode(nlohmann::json::from_cbor(body.begin(), body.end()));
    } catch (const nlohmann::json::exception& failure) {
        throw Error(ResultCode::BadFrame, std::string(type) + " message can't be decoded: " + failure.what());
    }
}

// Reads the number of an enumeration that counts up from 0 to the last value.
// Throws Error(BadFrame) for a number that is no value of it.
template <typename Enumeration>
Enumeration enumerationFromJson(const nlohmann::json& json, Enumeration last)
{
    int number = json.get<int>();
    if (number < 0 || number > static_cast<int>(last))
        throw Error(ResultCode::BadFrame, "message has the unknown value " + std::to_string(number));
    return static_cast<Enumeration>(number);
}

}

#include "Platform/TableJson.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

// Parses the body and calls the decoder. Converts exceptions of the JSON library to Error(MalformedRequest).
template <typename Decoder>
auto decodeJson(std::string_view body, const Decoder& decode)
{
    try {
        return decode(Json::parse(body));
    } catch (const Json::exception& failure) {
        throw Error(ResultCode::MalformedRequest, std::string("table message can't be decoded: ") + failure.what());
    }
}

}

std::string encodeReadRequest(const std::vector<std::string>& keys)
{
    return Json { { "keys", keys } }.dump();
}

std::vector<std::string> decodeReadRequest(std::string_view body)
{
    return decodeJson(body, [](const Json& json) { return json.at("keys").get<std::vector<std::string>>(); });
}

std::string encodeScanRequest(const std::string& prefix)
{
    return Json { { "prefix", prefix } }.dump();
}

std::string decodeScanRequest(std::string_view body)
{
    return decodeJson(body, [](const Json& json) { return json.at("prefix").get<std::string>(); });
}

std::string encodeWriteRequest(const std::vector<TableWrite>& writes)
{
    Json list = Json::array();
    for (const TableWrite& write : writes) {
        Json entry { { "key", write.key } };
        if (write.value)
            entry["value"] = *write.value;
        if (write.expectedVersion)
            entry["expectedVersion"] = *write.expectedVersion;
        list.push_back(entry);
    }
    return Json { { "writes", list } }.dump();
}

std::vector<TableWrite> decodeWriteRequest(std::string_view body)
{
    return decodeJson(body, [](const Json& json) {
        std::vector<TableWrite> writes;
        for (const Json& entry : json.at("writes")) {
            TableWrite write;
            write.key = entry.at("key").get<std::string>();
            if (entry.contains("value"))
                write.value = entry.at("value").get<std::string>();
            if (entry.contains("expectedVersion"))
                write.expectedVersion = entry.at("expectedVersion").get<RowVersion>();
            writes.push_back(write);
        }
        return writes;
    });
}

std::string encodeRows(const std::vector<TableRow>& rows)
{
    Json list = Json::array();
    for (const TableRow& row : rows)
        list.push_back({ { "key", row.key }, { "value", row.value }, { "version", row.version } });
    return Json { { "rows", list } }.dump();
}

std::vector<TableRow> decodeRows(std::string_view body)
{
    return decodeJson(body, [](const Json& json) {
        std::vector<TableRow> rows;
        for (const Json& entry : json.at("rows"))
            rows.push_back({ entry.at("key").get<std::string>(), entry.at("value").get<std::string>(), entry.at("version").get<RowVersion>() });
        return rows;
    });
}

}

#pragma once

#include "Platform/Table.h"

#include <string>
#include <string_view>
#include <vector>

namespace Damaskgrade {

// Encodes and decodes the JSON bodies of the table service's HTTP interface:
// POST /v1/table/read {"keys": [...]}, POST /v1/table/scan {"prefix": "..."} and
// POST /v1/table/write {"writes": [{"key", "value"?, "expectedVersion"?}]}.
// The decoding functions throw Error(MalformedRequest) for invalid input.

std::string encodeReadRequest(const std::vector<std::string>& keys);
std::vector<std::string> decodeReadRequest(std::string_view body);

std::string encodeScanRequest(const std::string& prefix);
std::string decodeScanRequest(std::string_view body);

std::string encodeWriteRequest(const std::vector<TableWrite>& writes);
std::vector<TableWrite> decodeWriteRequest(std::string_view body);

std::string encodeRows(const std::vector<TableRow>& rows);
std::vector<TableRow> decodeRows(std::string_view body);

}

#pragma once

#include "Configuration/ConfigurationMessages.h"
#include "Platform/Table.h"

#include <string>
#include <vector>

namespace Damaskgrade {

// The row that decides every change. A change is committed when this row names it.
struct HeadRow {
    ConfigurationVersion committed { 0 };
    ConfigurationVersion inForce { 0 };
    // The change that made the committed version.
    std::string changeId;
};

extern const char* const headKey;
extern const char* const slotsKey;

// Returns the key of a version's document. Versions sort in key order.
std::string documentKey(ConfigurationVersion version);

// Rows are JSON, so that they can be read without the program. Decoding throws Error(DocumentInvalid).
std::string encodeHead(const HeadRow& head);
HeadRow decodeHead(std::string_view text);
std::string encodeDocumentRow(const CommittedDocument& document);
CommittedDocument decodeDocumentRow(std::string_view text);
std::string encodeSlots(const std::vector<std::string>& slots);
std::vector<std::string> decodeSlots(std::string_view text);

// Returns the transaction that sets up a new deployment with version 1. It conflicts if there is one already.
std::vector<TableWrite> initialRows(const ConfigurationText& text, const std::vector<std::string>& slots);

}

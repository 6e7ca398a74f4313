#pragma once

#include "Configuration/ConfigurationMessages.h"
#include "Platform/Table.h"

#include <string>
#include <vector>

namespace Damaskgrade {

// The row that decides all changes: a change is committed when its id is written to this row.
struct HeadRow {
    ConfigurationVersion committed { 0 };
    ConfigurationVersion inForce { 0 };
    // The change that created the committed version.
    std::string changeId;
};

extern const char* const headKey;
extern const char* const slotsKey;

// Returns the row key of a version's document. Key order is version order.
std::string documentKey(ConfigurationVersion version);

// Rows are JSON, so that they can be read without this program. Decoding throws Error(DocumentInvalid)
// if the text is malformed.
std::string encodeHead(const HeadRow& head);
HeadRow decodeHead(std::string_view text);
std::string encodeDocumentRow(const CommittedDocument& document);
CommittedDocument decodeDocumentRow(std::string_view text);
std::string encodeSlots(const std::vector<std::string>& slots);
std::vector<std::string> decodeSlots(std::string_view text);

// Returns the transaction that initializes a new deployment with version 1. The transaction
// conflicts if the rows already exist.
std::vector<TableWrite> initialRows(const ConfigurationText& text, const std::vector<std::string>& slots);

}

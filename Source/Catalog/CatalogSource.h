#pragma once

#include "Catalog/CatalogHolder.h"
#include "Catalog/CatalogKnowledge.h"
#include "Evacuation/EvacuationMessages.h"
#include "Platform/StoreGeneration.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Damaskgrade {

enum class CatalogReadStatus {
    Ok,
    // The source no longer has the changes since the given revision.
    HistoryLost,
    // The source did not respond or refused the request.
    Unavailable,
};

struct CatalogReadResult {
    CatalogReadStatus status { CatalogReadStatus::Unavailable };
    // Contains no catalog if there is none, if it has not changed, or if it could not be decoded.
    CatalogVersion version;
    // The revision to pass to the next call of awaitChange, and the generation that it belongs to.
    std::uint64_t revision { 0 };
    StoreGeneration generation { 0 };
    // When the source made this answer.
    SourceTime time { 0 };
    // The rows with evacuations that the answer contains.
    std::vector<EvacuationRow> evacuations {};
};

// Interface of the store that contains the operator's catalog.
class CatalogSource {
public:
    using Done = std::function<void(const CatalogReadResult&)>;

    virtual ~CatalogSource() = default;

    // Reads the current catalog and calls done once, with the status Unavailable if the read fails.
    virtual void read(Done done) = 0;

    // Calls done once: with the first change after the revision, without a catalog after the timeout, or with the status
    // HistoryLost or Unavailable.
    virtual void awaitChange(std::uint64_t revision, std::chrono::milliseconds timeout, Done done) = 0;

    // Decodes the text of a catalog that was received from a peer. Throws Error(DocumentInvalid) if it is invalid.
    virtual CatalogVersion decode(const std::string& text) const = 0;
};

}

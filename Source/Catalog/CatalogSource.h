#pragma once

#include "Catalog/CatalogHolder.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace Damaskgrade {

enum class CatalogReadStatus {
    Ok,
    // The source no longer has the changes since the given revision.
    HistoryLost,
    // No answer, or a refusal. Nothing is known.
    Unavailable,
};

struct CatalogReadResult {
    CatalogReadStatus status { CatalogReadStatus::Unavailable };
    // Without a catalog if there is none, none has changed, or it could not be decoded.
    CatalogVersion version;
    // Where to wait for the next change.
    std::uint64_t revision { 0 };
};

// Where the operator's catalog lies.
class CatalogSource {
public:
    using Done = std::function<void(const CatalogReadResult&)>;

    virtual ~CatalogSource() = default;

    virtual void read(Done done) = 0;

    // Answers with the next change after the revision, or without one after the wait.
    virtual void awaitChange(std::uint64_t revision, std::chrono::milliseconds timeout, Done done) = 0;

    // Decodes the text of a catalog that a peer has passed on. Throws Error(DocumentInvalid).
    virtual CatalogVersion decode(const std::string& text) const = 0;
};

}

#pragma once

#include "Configuration/ConfigurationText.h"
#include "Transport/Frame.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Damaskgrade {

// Versions count up from 1 by one per change. 0 means none.
using ConfigurationVersion = std::uint64_t;

// What an entry tells of itself in each gossip message.
struct VersionDigest {
    // The highest version that the entry knows to be committed and whose document it holds.
    ConfigurationVersion learned { 0 };
    ConfigurationVersion inForce { 0 };
};

// A committed document. `sectionVersions` holds the version that last changed each section.
struct CommittedDocument {
    ConfigurationVersion version { 0 };
    std::string changeId;
    std::string section;
    std::map<std::string, ConfigurationVersion> sectionVersions;
    ConfigurationText text;
};

// Asks a member whether it can apply a change to the version it is based on.
struct ProposeMessage {
    static constexpr const char* type = "propose";
    std::string changeId;
    ConfigurationVersion base { 0 };
    std::string section;
    std::string text;
};

enum class ProposeVote {
    CanApply,
    // The member lacks the base version for now; the coordinator asks again.
    Behind,
    Invalid,
};

struct ProposeResultMessage {
    static constexpr const char* type = "proposeResult";
    std::string changeId;
    ConfigurationVersion base { 0 };
    ProposeVote vote { ProposeVote::Invalid };
    std::string reason;
};

// The sender has learned that a version is committed, and has `inForce` in force.
struct LearnedMessage {
    static constexpr const char* type = "learned";
    ConfigurationVersion version { 0 };
    std::string changeId;
    ConfigurationVersion inForce { 0 };
    bool wantsReply { false };
};

// Asks a peer for its committed document if that is newer than the one the sender holds.
struct DocumentRequest {
    static constexpr const char* type = "documentRequest";
    ConfigurationVersion have { 0 };
};

struct DocumentMessage {
    static constexpr const char* type = "document";
    CommittedDocument document;
};

using ConfigurationMessage = std::variant<ProposeMessage, ProposeResultMessage, LearnedMessage, DocumentRequest, DocumentMessage>;

Frame encodeMessage(const ConfigurationMessage& message, HybridTime time);

// Returns no message if the frame has a type of another slice.
// Throws Error(BadFrame) if the body does not fit the type.
std::optional<ConfigurationMessage> decodeConfigurationMessage(const Frame& frame);

// The digest of an entry that has not read the table since its start is empty.
std::string encodeDigest(const VersionDigest& digest);

// Returns no digest for an empty or malformed text.
std::optional<VersionDigest> decodeDigest(std::string_view text);

}

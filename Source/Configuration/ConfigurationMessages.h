#pragma once

#include "Configuration/ConfigurationText.h"
#include "Transport/Frame.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Damaskgrade {

// Versions start at 1 and increase by one with each change. 0 means no version.
using ConfigurationVersion = std::uint64_t;

// The configuration state that an entry reports about itself in each gossip message.
struct VersionDigest {
    // The highest version that the entry knows to be committed and has the document of.
    ConfigurationVersion learned { 0 };
    ConfigurationVersion inForce { 0 };
};

// A committed document. `sectionVersions` maps each section to the version that last changed it.
struct CommittedDocument {
    ConfigurationVersion version { 0 };
    std::string changeId;
    std::string section;
    std::map<std::string, ConfigurationVersion> sectionVersions;
    ConfigurationText text;
};

// Asks a member to vote on whether it can apply a change to the base version.
struct ProposeMessage {
    static constexpr const char* type = "propose";
    std::string changeId;
    ConfigurationVersion base { 0 };
    std::string section;
    std::string text;
};

enum class ProposeVote {
    CanApply,
    // The member does not have the base version yet; the coordinator resends the proposal.
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

// Reports that the sender has learned that `version` is committed and has `inForce` in force.
struct LearnedMessage {
    static constexpr const char* type = "learned";
    ConfigurationVersion version { 0 };
    std::string changeId;
    ConfigurationVersion inForce { 0 };
    bool wantsReply { false };
};

// Requests the committed document of a peer if it is newer than the sender's version `have`.
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

// Returns no message if the frame type does not belong to the configuration protocol.
// Throws Error(BadFrame) if the body does not match the type.
std::optional<ConfigurationMessage> decodeConfigurationMessage(const Frame& frame);

// Encodes a digest for gossip. An entry that has not read the table since its start sends an
// empty text instead.
std::string encodeDigest(const VersionDigest& digest);

// Returns no digest if the text is empty or malformed.
std::optional<VersionDigest> decodeDigest(std::string_view text);

}

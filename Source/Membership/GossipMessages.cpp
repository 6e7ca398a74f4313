#include "Membership/GossipMessages.h"

#include "Transport/CborBody.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace Damaskgrade {

using Json = nlohmann::json;

namespace {

constexpr std::uint8_t unknownAge = 255;
constexpr std::uint8_t drainingBit = 128;
constexpr std::uint8_t inlineDigestIndex = 127;
constexpr int bitsPerByte = 8;

// Encodes the reports: first each distinct digest once, then six bytes per slot with a report and one
// byte per slot without. A digest that does not fit in the list is written with its slot.
class ReportWriter {
public:
    Bytes write(const std::vector<std::optional<SlotReport>>& slots)
    {
        collectDigests(slots);
        bytes_.push_back(static_cast<std::uint8_t>(digests_.size()));
        for (const std::string& digest : digests_)
            writeText(digest);
        for (const std::optional<SlotReport>& slot : slots)
            writeSlot(slot);
        return bytes_;
    }

private:
    void collectDigests(const std::vector<std::optional<SlotReport>>& slots)
    {
        for (const std::optional<SlotReport>& slot : slots) {
            bool isNew = slot && std::find(digests_.begin(), digests_.end(), slot->digest) == digests_.end();
            if (isNew && digests_.size() < inlineDigestIndex)
                digests_.push_back(slot->digest);
        }
    }

    void writeSlot(const std::optional<SlotReport>& slot)
    {
        if (!slot || slot->age > maxReportedAge) {
            bytes_.push_back(unknownAge);
            return;
        }
        bytes_.push_back(static_cast<std::uint8_t>((slot->age + ageUnit - std::chrono::milliseconds(1)) / ageUnit));
        auto digest = std::find(digests_.begin(), digests_.end(), slot->digest);
        std::uint8_t index = static_cast<std::uint8_t>(digest - digests_.begin());
        bytes_.push_back(slot->isDraining ? index | drainingBit : index);
        if (index == inlineDigestIndex)
            writeText(slot->digest);
        for (int shift = 0; shift < 4 * bitsPerByte; shift += bitsPerByte)
            bytes_.push_back(static_cast<std::uint8_t>(slot->incarnation >> shift));
    }

    void writeText(const std::string& text)
    {
        bytes_.push_back(static_cast<std::uint8_t>(text.size()));
        bytes_.insert(bytes_.end(), text.begin(), text.end());
    }

    Bytes bytes_;
    std::vector<std::string> digests_;
};

class ReportReader {
public:
    explicit ReportReader(const Bytes& bytes)
        : bytes_(bytes)
    {
    }

    std::vector<std::optional<SlotReport>> read()
    {
        digests_.resize(std::min(readByte(), inlineDigestIndex));
        for (std::string& digest : digests_)
            digest = readText();
        std::vector<std::optional<SlotReport>> slots;
        while (position_ < bytes_.size())
            slots.push_back(readSlot());
        return slots;
    }

private:
    std::optional<SlotReport> readSlot()
    {
        std::uint8_t age = readByte();
        if (age == unknownAge)
            return std::nullopt;
        SlotReport report;
        report.age = age * ageUnit;
        std::uint8_t flags = readByte();
        report.isDraining = (flags & drainingBit) != 0;
        std::uint8_t index = flags & inlineDigestIndex;
        if (index != inlineDigestIndex && index >= digests_.size())
            throw Error(ResultCode::BadFrame, "gossip message refers to digest " + std::to_string(index) + " of " + std::to_string(digests_.size()));
        report.digest = index == inlineDigestIndex ? readText() : digests_[index];
        for (int shift = 0; shift < 4 * bitsPerByte; shift += bitsPerByte)
            report.incarnation |= static_cast<std::uint32_t>(readByte()) << shift;
        return report;
    }

    std::string readText()
    {
        std::size_t size = readByte();
        if (size > maxDigestBytes)
            throw Error(ResultCode::BadFrame, "gossip message has a digest of " + std::to_string(size) + " bytes");
        std::string text;
        while (text.size() < size)
            text += static_cast<char>(readByte());
        return text;
    }

    std::uint8_t readByte()
    {
        if (position_ >= bytes_.size())
            throw Error(ResultCode::BadFrame, "gossip message ends within a slot");
        return bytes_[position_++];
    }

    const Bytes& bytes_;
    std::size_t position_ { 0 };
    std::vector<std::string> digests_;
};

}

std::uint32_t slotSetHash(const std::vector<std::string>& slots)
{
    std::string names;
    for (const std::string& slot : slots)
        names += slot + '\n';
    return XXH32(names.data(), names.size(), 0);
}

Frame encodeMessage(const GossipRequest& message, HybridTime time)
{
    return makeFrame(GossipRequest::type, time, { { "s", message.slotSet }, { "n", message.nonce } });
}

Frame encodeMessage(const GossipMessage& message, HybridTime time)
{
    Bytes reports = ReportWriter().write(message.slots);
    return makeFrame(GossipMessage::type, time, { { "s", message.slotSet }, { "n", message.nonce }, { "r", Json::binary(reports) } });
}

GossipRequest decodeGossipRequest(ByteView body)
{
    return decodeBody(GossipRequest::type, body, [](const Json& json) {
        return GossipRequest { json.at("s").get<std::uint32_t>(), json.at("n").get<std::uint64_t>() };
    });
}

GossipMessage decodeGossip(ByteView body)
{
    return decodeBody(GossipMessage::type, body, [](const Json& json) {
        GossipMessage message;
        message.slotSet = json.at("s").get<std::uint32_t>();
        message.nonce = json.at("n").get<std::uint64_t>();
        message.slots = ReportReader(json.at("r").get_binary()).read();
        return message;
    });
}

}

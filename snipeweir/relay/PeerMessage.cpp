#include "snipeweir/relay/PeerMessage.h"

#include "snipeweir/core/Cbor.h"

#include <algorithm>

namespace snipeweir {

namespace {

    /// Limits of what one message may ask or grant; larger values are malformed.
    constexpr uint64_t maxQuotaMilliTokens = 100'000'000;
    constexpr uint64_t maxQuotaWaitMs = 3'600'000;
    constexpr uint64_t maxQuotaNodes = 1'000'000;

    void writeLoad(CborWriter& writer, const NodeLoad& load)
    {
        writer.writeText(load.instance).writeUnsigned(load.isAccepting ? 1 : 0).writeUnsigned(load.running);
        writer.writeUnsigned(load.waiting).writeUnsigned(load.limit).writeUnsigned(load.slownessPercent);
        writer.writeUnsigned(static_cast<uint64_t>(load.meanServiceTime.count())).writeUnsigned(load.failurePercent);
        writer.writeUnsigned(load.startTokens).writeUnsigned(static_cast<uint64_t>(load.startInterval.count()));
        writer.writeUnsigned(load.isSlowdownTransient ? 1 : 0);
    }

    NodeLoad readLoad(CborReader& reader)
    {
        const auto number = [&] { return static_cast<uint32_t>(reader.readUnsigned().value_or(0)); };
        NodeLoad load;
        load.instance = std::string(reader.readText().value_or(""));
        load.isAccepting = number() != 0;
        load.running = number();
        load.waiting = number();
        load.limit = number();
        load.slownessPercent = number();
        load.meanServiceTime = std::chrono::microseconds(number());
        load.failurePercent = number();
        load.startTokens = number();
        load.startInterval = std::chrono::microseconds(number());
        load.isSlowdownTransient = number() != 0;
        return load;
    }

    void writeQuotaRequest(CborWriter& writer, const QuotaMessage& quota)
    {
        writer.writeUnsigned(quota.nonce).writeUnsigned(static_cast<uint64_t>(quota.operation));
        writer.writeUnsigned(quota.organisation).writeUnsigned(quota.milliTokens);
    }

    void writeQuotaGrant(CborWriter& writer, const QuotaMessage& quota)
    {
        writer.writeUnsigned(quota.nonce).writeUnsigned(static_cast<uint64_t>(quota.status));
        writer.writeUnsigned(quota.milliTokens).writeUnsigned(static_cast<uint64_t>(quota.wait.count()));
        writer.writeUnsigned(quota.nodes);
    }

    /// @return Whether the values are in range.
    bool readQuotaRequest(CborReader& reader, QuotaMessage& quota)
    {
        quota.nonce = reader.readUnsigned().value_or(0);
        const uint64_t operation = reader.readUnsigned().value_or(0);
        quota.organisation = reader.readUnsigned().value_or(0);
        const uint64_t tokens = reader.readUnsigned().value_or(0);
        quota.operation = static_cast<QuotaMessage::Operation>(operation);
        quota.milliTokens = static_cast<uint32_t>(tokens);
        return operation <= static_cast<uint64_t>(QuotaMessage::Operation::Join) && tokens <= maxQuotaMilliTokens;
    }

    bool readQuotaGrant(CborReader& reader, QuotaMessage& quota)
    {
        quota.nonce = reader.readUnsigned().value_or(0);
        const uint64_t status = reader.readUnsigned().value_or(0);
        const uint64_t tokens = reader.readUnsigned().value_or(0);
        const uint64_t wait = reader.readUnsigned().value_or(0);
        const uint64_t nodes = reader.readUnsigned().value_or(0);
        quota.status = static_cast<QuotaMessage::Status>(status);
        quota.milliTokens = static_cast<uint32_t>(tokens);
        quota.wait = std::chrono::milliseconds(wait);
        quota.nodes = static_cast<uint32_t>(nodes);
        return status <= static_cast<uint64_t>(QuotaMessage::Status::Unavailable) && tokens <= maxQuotaMilliTokens
            && wait <= maxQuotaWaitMs && nodes <= maxQuotaNodes;
    }

    SourceDocumentVersion readVersion(CborReader& reader)
    {
        SourceDocumentVersion version;
        version.version.revision.value = reader.readUnsigned().value_or(0);
        version.digest = reader.readUnsigned().value_or(0);
        return version;
    }

    /// Limit of an age in milliseconds, which is subtracted from the time in nanoseconds.
    constexpr uint64_t maxAgeMs = 1ULL << 40U;

    /// Reads the fields from the age on, which announcements and confirmations have in common.
    void readAnnouncer(CborReader& reader, PeerMessage& message)
    {
        message.age = std::chrono::milliseconds(std::min(reader.readUnsigned().value_or(0), maxAgeMs));
        message.announcer = std::string(reader.readText().value_or(""));
        message.incarnation = reader.readUnsigned().value_or(0);
        message.sequence = reader.readUnsigned().value_or(0);
        message.tree = static_cast<uint32_t>(reader.readUnsigned().value_or(0));
        message.hopsLeft = static_cast<uint32_t>(reader.readUnsigned().value_or(0));
    }

    void writeEras(CborWriter& writer, const PeerMessage& message)
    {
        if (message.backends.version.era == 0 && message.operators.version.era == 0)
            return;
        writer.writeUnsigned(message.backends.version.era).writeUnsigned(message.operators.version.era);
        writer.writeUnsigned(message.configuration.value);
        if (message.eraAge)
            writer.writeUnsigned(static_cast<uint64_t>(message.eraAge->count()));
    }

    void readEras(CborReader& reader, PeerMessage& message)
    {
        if (reader.isComplete())
            return;
        message.backends.version.era = reader.readUnsigned().value_or(0);
        message.operators.version.era = reader.readUnsigned().value_or(0);
        message.configuration.value = reader.readUnsigned().value_or(0);
        if (reader.isComplete())
            return;
        message.eraAge = std::chrono::milliseconds(std::min(reader.readUnsigned().value_or(0), maxAgeMs));
    }

}

std::string PeerMessage::encode() const
{
    CborWriter writer;
    writer.writeUnsigned(static_cast<uint64_t>(kind));
    switch (kind) {
    case Kind::LoadQuery:
        writer.writeUnsigned(nonce);
        break;
    case Kind::LoadReply:
        writer.writeUnsigned(nonce);
        writeLoad(writer, load);
        break;
    case Kind::Announcement:
        writer.writeUnsigned(backends.version.revision.value).writeUnsigned(backends.digest);
        writer.writeUnsigned(operators.version.revision.value).writeUnsigned(operators.digest);
        writer.writeUnsigned(static_cast<uint64_t>(age.count()));
        writer.writeText(announcer).writeUnsigned(incarnation).writeUnsigned(sequence);
        writer.writeUnsigned(tree).writeUnsigned(hopsLeft);
        writeEras(writer, *this);
        break;
    case Kind::Subscription:
        break;
    case Kind::QuotaRequest:
        writeQuotaRequest(writer, quota);
        break;
    case Kind::QuotaGrant:
        writeQuotaGrant(writer, quota);
        break;
    case Kind::Confirmation:
        writer.writeUnsigned(operators.digest).writeUnsigned(static_cast<uint64_t>(age.count()));
        writer.writeText(announcer).writeUnsigned(incarnation).writeUnsigned(sequence);
        writer.writeUnsigned(tree).writeUnsigned(hopsLeft);
        break;
    case Kind::ContinuityQuery:
        writer.writeUnsigned(nonce);
        break;
    case Kind::ContinuityReply:
        writer.writeUnsigned(nonce).writeText(continuity.text());
        break;
    }
    return writer.take();
}

std::optional<PeerMessage> PeerMessage::decode(std::string_view bytes)
{
    CborReader reader(bytes);
    PeerMessage message;
    switch (reader.readUnsigned().value_or(0)) {
    case static_cast<uint64_t>(Kind::LoadQuery):
        message.kind = Kind::LoadQuery;
        message.nonce = reader.readUnsigned().value_or(0);
        break;
    case static_cast<uint64_t>(Kind::LoadReply):
        message.kind = Kind::LoadReply;
        message.nonce = reader.readUnsigned().value_or(0);
        message.load = readLoad(reader);
        break;
    case static_cast<uint64_t>(Kind::Announcement):
        message.kind = Kind::Announcement;
        message.backends = readVersion(reader);
        message.operators = readVersion(reader);
        readAnnouncer(reader, message);
        readEras(reader, message);
        break;
    case static_cast<uint64_t>(Kind::Subscription):
        message.kind = Kind::Subscription;
        break;
    case static_cast<uint64_t>(Kind::Confirmation):
        message.kind = Kind::Confirmation;
        message.operators.digest = reader.readUnsigned().value_or(0);
        readAnnouncer(reader, message);
        break;
    case static_cast<uint64_t>(Kind::ContinuityQuery):
        message.kind = Kind::ContinuityQuery;
        message.nonce = reader.readUnsigned().value_or(0);
        break;
    case static_cast<uint64_t>(Kind::ContinuityReply): {
        message.kind = Kind::ContinuityReply;
        message.nonce = reader.readUnsigned().value_or(0);
        const auto continuity = SourceContinuity::parse(reader.readText().value_or(""));
        if (!continuity)
            return std::nullopt;
        message.continuity = *continuity;
        break;
    }
    case static_cast<uint64_t>(Kind::QuotaRequest):
        message.kind = Kind::QuotaRequest;
        if (!readQuotaRequest(reader, message.quota))
            return std::nullopt;
        break;
    case static_cast<uint64_t>(Kind::QuotaGrant):
        message.kind = Kind::QuotaGrant;
        if (!readQuotaGrant(reader, message.quota))
            return std::nullopt;
        break;
    default:
        return std::nullopt;
    }
    if (!reader.isComplete())
        return std::nullopt;
    return message;
}

}

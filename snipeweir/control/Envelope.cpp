#include "snipeweir/control/Envelope.h"

#include <algorithm>
#include <cassert>
#include <sodium.h>

namespace snipeweir {

namespace {

    constexpr uint8_t envelopeVersion = 1;
    constexpr size_t macBytes = 16;
    constexpr size_t maxSenderNameBytes = 64;
    constexpr size_t incarnationBytes = 8;
    constexpr size_t sealTimeBytes = 6;
    // Five bytes last over 300 years at 100 messages/s, so the sequence number does not wrap.
    constexpr size_t sequenceBytes = 5;
    constexpr size_t fixedHeaderBytes = 4;
    constexpr size_t minDatagramBytes
        = fixedHeaderBytes + 1 + incarnationBytes + sealTimeBytes + sequenceBytes + macBytes;
    static_assert(fixedHeaderBytes + maxSenderNameBytes + incarnationBytes + sealTimeBytes + sequenceBytes + macBytes
            + maxPayloadBytes
        <= maxDatagramBytes);

    constexpr std::array<std::string_view, envelopeRefusalCount> refusalNames { "too_large", "malformed",
        "unknown_version", "unknown_type", "unknown_key", "bad_mac", "clock_skew", "reflected", "previous_incarnation",
        "replayed", "rate_exceeded", "sender_table_full" };

    void appendNumber(std::string& out, uint64_t value, size_t bytes)
    {
        for (size_t i = bytes; i > 0; --i)
            out.push_back(static_cast<char>((value >> (8 * (i - 1))) & 0xff));
    }

    uint64_t readNumber(std::string_view& in, size_t bytes)
    {
        uint64_t value = 0;
        for (size_t i = 0; i < bytes; ++i)
            value = (value << 8) | static_cast<uint8_t>(in[i]);
        in.remove_prefix(bytes);
        return value;
    }

    bool isKnownType(uint8_t type)
    {
        switch (static_cast<ControlMessageType>(type)) {
        case ControlMessageType::Ping:
        case ControlMessageType::PingAck:
        case ControlMessageType::PingRequest:
        case ControlMessageType::Rumours:
        case ControlMessageType::DataCentreDigest:
        case ControlMessageType::DataCentreDifference:
        case ControlMessageType::Join:
        case ControlMessageType::JoinReply:
        case ControlMessageType::DocumentPush:
        case ControlMessageType::DocumentPull:
        case ControlMessageType::DocumentChunk:
        case ControlMessageType::DocumentRevisions:
        case ControlMessageType::LoadProbe:
        case ControlMessageType::LoadProbeReply:
            return true;
        }
        return false;
    }

    std::array<unsigned char, macBytes> computeMac(std::string_view data, const ControlKey& key)
    {
        std::array<unsigned char, macBytes> mac {};
        crypto_generichash(mac.data(), mac.size(), reinterpret_cast<const unsigned char*>(data.data()), data.size(),
            reinterpret_cast<const unsigned char*>(key.secret.data()), key.secret.size());
        return mac;
    }

    ErrorCode errorCodeFor(EnvelopeRefusal refusal)
    {
        switch (refusal) {
        case EnvelopeRefusal::TooLarge:
            return ErrorCode::TooLarge;
        case EnvelopeRefusal::Malformed:
        case EnvelopeRefusal::UnknownVersion:
        case EnvelopeRefusal::UnknownType:
            return ErrorCode::InvalidDocument;
        case EnvelopeRefusal::UnknownKey:
        case EnvelopeRefusal::BadMac:
            return ErrorCode::Unauthenticated;
        case EnvelopeRefusal::ClockSkew:
        case EnvelopeRefusal::PreviousIncarnation:
            return ErrorCode::Stale;
        case EnvelopeRefusal::Reflected:
        case EnvelopeRefusal::Replayed:
            return ErrorCode::Replayed;
        case EnvelopeRefusal::RateExceeded:
        case EnvelopeRefusal::SenderTableFull:
            return ErrorCode::Unavailable;
        }
        return ErrorCode::InvalidArgument;
    }

}

struct Envelope::Header {
    std::string sender;
    Incarnation incarnation;
    int64_t sealTimeMs = 0;
    uint64_t sequence = 0;
};

std::string_view envelopeRefusalName(EnvelopeRefusal refusal) { return refusalNames.at(static_cast<size_t>(refusal)); }

Result<std::unique_ptr<Envelope>> Envelope::create(
    EnvelopeSettings settings, VmId self, Incarnation incarnation, const Clock& clock)
{
    if (sodium_init() < 0)
        return fail(ErrorCode::Unavailable, "libsodium cannot be initialised.");
    if (self.isEmpty() || self.text().size() > maxSenderNameBytes)
        return fail(ErrorCode::InvalidArgument, "A VM name needs 1 to 64 bytes.");
    if (settings.keys.empty() || settings.keys.size() > 2)
        return fail(ErrorCode::InvalidArgument, "The control plane needs one or two keys.");
    for (const ControlKey& key : settings.keys) {
        if (key.secret.size() < crypto_generichash_KEYBYTES_MIN || key.secret.size() > crypto_generichash_KEYBYTES_MAX)
            return fail(ErrorCode::InvalidArgument, "A control key needs 16 to 64 bytes.");
    }
    if (settings.keys.size() == 2 && settings.keys[0].id == settings.keys[1].id)
        return fail(ErrorCode::InvalidArgument, "Two control keys have the same id.");
    return std::unique_ptr<Envelope>(new Envelope(std::move(settings), std::move(self), incarnation, clock));
}

Envelope::Envelope(EnvelopeSettings settings, VmId self, Incarnation incarnation, const Clock& clock)
    : m_settings(std::move(settings))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_clock(clock)
    , m_lastSweepAt(clock.now())
{
}

// Reads the wall clock each time instead of advancing a start time by the steady clock, which may stop while a VM is
// suspended: all other nodes would permanently refuse a node whose time lags by more than maxClockSkew.
int64_t Envelope::wallClockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallTime().time_since_epoch()).count();
}

std::string Envelope::seal(ControlMessageType type, std::string_view payload)
{
    assert(payload.size() <= maxPayloadBytes);
    const ControlKey& key = m_settings.keys.front();
    std::string out;
    out.reserve(minDatagramBytes + m_self.text().size() + payload.size());
    out.push_back(static_cast<char>(envelopeVersion));
    out.push_back(static_cast<char>(key.id));
    out.push_back(static_cast<char>(type));
    out.push_back(static_cast<char>(m_self.text().size()));
    out.append(m_self.text());
    appendNumber(out, m_incarnation.value, incarnationBytes);
    appendNumber(out, static_cast<uint64_t>(wallClockMs()), sealTimeBytes);
    appendNumber(out, m_sequence.fetch_add(1, std::memory_order_relaxed) + 1, sequenceBytes);
    out.append(payload);
    const auto mac = computeMac(out, key);
    out.append(reinterpret_cast<const char*>(mac.data()), mac.size());
    m_sealedCount.fetch_add(1, std::memory_order_relaxed);
    return out;
}

const ControlKey* Envelope::findKey(uint8_t id) const
{
    for (const ControlKey& candidate : m_settings.keys) {
        if (candidate.id == id)
            return &candidate;
    }
    return nullptr;
}

boost::leaf::error_id Envelope::refuse(EnvelopeRefusal refusal)
{
    m_refusedCounts.at(static_cast<size_t>(refusal)).fetch_add(1, std::memory_order_relaxed);
    return fail(errorCodeFor(refusal), "The datagram is refused: " + std::string(envelopeRefusalName(refusal)) + ".");
}

Result<ControlMessage> Envelope::open(std::string_view datagram)
{
    // Check the size and the fixed-size header.
    if (datagram.size() > maxDatagramBytes)
        return refuse(EnvelopeRefusal::TooLarge);
    if (datagram.size() < minDatagramBytes)
        return refuse(EnvelopeRefusal::Malformed);
    if (static_cast<uint8_t>(datagram[0]) != envelopeVersion)
        return refuse(EnvelopeRefusal::UnknownVersion);
    const size_t senderBytes = static_cast<uint8_t>(datagram[3]);
    if (senderBytes == 0 || senderBytes > maxSenderNameBytes || datagram.size() < minDatagramBytes - 1 + senderBytes)
        return refuse(EnvelopeRefusal::Malformed);

    // Authenticate before any state is kept for the sender.
    const ControlKey* signingKey = findKey(static_cast<uint8_t>(datagram[1]));
    if (!signingKey)
        return refuse(EnvelopeRefusal::UnknownKey);
    const std::string_view signedBytes = datagram.substr(0, datagram.size() - macBytes);
    const auto mac = computeMac(signedBytes, *signingKey);
    if (sodium_memcmp(mac.data(), datagram.data() + signedBytes.size(), macBytes) != 0)
        return refuse(EnvelopeRefusal::BadMac);
    const auto type = static_cast<uint8_t>(datagram[2]);
    if (!isKnownType(type))
        return refuse(EnvelopeRefusal::UnknownType);

    // Decode the variable-size header and check that the datagram is fresh.
    std::string_view rest = signedBytes.substr(fixedHeaderBytes);
    Header header;
    header.sender = std::string(rest.substr(0, senderBytes));
    rest.remove_prefix(senderBytes);
    header.incarnation = Incarnation { readNumber(rest, incarnationBytes) };
    header.sealTimeMs = static_cast<int64_t>(readNumber(rest, sealTimeBytes));
    header.sequence = readNumber(rest, sequenceBytes);
    if (const auto refusal = checkFreshness(header))
        return refuse(*refusal);

    m_openedCount.fetch_add(1, std::memory_order_relaxed);
    ControlMessage message;
    message.type = static_cast<ControlMessageType>(type);
    message.sender = VmId(std::move(header.sender));
    message.senderIncarnation = header.incarnation;
    message.payload = std::string(rest);
    return message;
}

std::optional<EnvelopeRefusal> Envelope::checkFreshness(const Header& header)
{
    if (header.incarnation == m_incarnation && header.sender == m_self.text())
        return EnvelopeRefusal::Reflected;
    const int64_t skewMs = header.sealTimeMs - wallClockMs();
    const int64_t maxSkewMs = std::chrono::milliseconds(m_settings.maxClockSkew).count();
    if (skewMs > maxSkewMs || skewMs < -maxSkewMs)
        return EnvelopeRefusal::ClockSkew;

    const std::lock_guard lock(m_mutex);
    const SteadyTime now = m_clock.now();
    removeExpiredSenders(now);
    auto found = m_senders.find(header.sender);
    if (found == m_senders.end()) {
        if (m_senders.size() >= m_settings.maxSendersCount)
            return EnvelopeRefusal::SenderTableFull;
        found = m_senders.emplace(header.sender, Sender {}).first;
        found->second.incarnation = header.incarnation;
        found->second.lastReceivedAt = now;
        found->second.rateTokens = m_settings.maxMessagesBurstCount;
    }
    Sender& sender = found->second;
    if (const auto refusal = checkIncarnation(sender, header))
        return refusal;
    if (!sender.window.accept(header.sequence))
        return EnvelopeRefusal::Replayed;
    sender.newestSealTimeMs = std::max(sender.newestSealTimeMs, header.sealTimeMs);

    // Apply the token bucket of the sender.
    const double elapsed = std::chrono::duration<double>(now - sender.lastReceivedAt).count();
    sender.rateTokens = std::min<double>(
        m_settings.maxMessagesBurstCount, sender.rateTokens + elapsed * m_settings.maxMessagesPerSecond);
    sender.lastReceivedAt = now;
    if (sender.rateTokens < 1)
        return EnvelopeRefusal::RateExceeded;
    sender.rateTokens -= 1;
    return std::nullopt;
}

std::optional<EnvelopeRefusal> Envelope::checkIncarnation(Sender& sender, const Header& header) const
{
    if (sender.incarnation == header.incarnation)
        return std::nullopt;
    const auto previousEnd = sender.previousIncarnations.begin()
        + static_cast<ptrdiff_t>(std::min(sender.previousIncarnationCount, sender.previousIncarnations.size()));
    if (std::find(sender.previousIncarnations.begin(), previousEnd, header.incarnation.value) != previousEnd)
        return EnvelopeRefusal::PreviousIncarnation;

    // An unknown incarnation is a restart only if its datagram was sealed after all accepted ones; otherwise the
    // datagram is a replay from an earlier incarnation.
    if (header.sealTimeMs <= sender.newestSealTimeMs)
        return EnvelopeRefusal::PreviousIncarnation;
    sender.previousIncarnations.at(sender.previousIncarnationCount % sender.previousIncarnations.size())
        = sender.incarnation.value;
    ++sender.previousIncarnationCount;
    sender.incarnation = header.incarnation;
    sender.window = ReplayWindow();
    return std::nullopt;
}

// A datagram stays acceptable for at most twice maxClockSkew after it was received: the sender's clock may be ahead by
// maxClockSkew, and datagrams up to that age are accepted. After that time the sender's replay window is not needed.
void Envelope::removeExpiredSenders(SteadyTime now)
{
    const auto retention = 2 * m_settings.maxClockSkew + std::chrono::seconds(1);
    if (now - m_lastSweepAt < m_settings.maxClockSkew)
        return;
    m_lastSweepAt = now;
    std::erase_if(m_senders, [&](const auto& entry) { return now - entry.second.lastReceivedAt > retention; });
}

uint64_t Envelope::refusedCount(EnvelopeRefusal refusal) const
{
    return m_refusedCounts.at(static_cast<size_t>(refusal)).load(std::memory_order_relaxed);
}

}

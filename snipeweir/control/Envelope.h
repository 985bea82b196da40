#pragma once

#include "snipeweir/configuration/NodeSettings.h"
#include "snipeweir/control/ReplayWindow.h"
#include "snipeweir/core/Clock.h"
#include "snipeweir/core/ControlKey.h"
#include "snipeweir/core/ControlMessage.h"
#include "snipeweir/core/Result.h"

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace snipeweir {

struct EnvelopeSettings {
    /// One key, or two during a key rotation. The first signs sent datagrams; received ones may use either.
    std::vector<ControlKey> keys;
    size_t maxSendersCount = 8192; ///< Maximum number of senders tracked at once.
    std::chrono::seconds maxClockSkew { 120 }; ///< Maximum difference between the wall clocks of two nodes.
    uint32_t maxMessagesPerSecond = 200; ///< Sustained rate limit per sender.
    uint32_t maxMessagesBurstCount = 400; ///< Burst limit per sender.
};

/// Reason for refusing a datagram. Refusals are counted per reason.
enum class EnvelopeRefusal {
    TooLarge,
    Malformed,
    UnknownVersion,
    UnknownType,
    UnknownKey,
    BadMac,
    ClockSkew,
    Reflected,
    PreviousIncarnation,
    Replayed,
    RateExceeded,
    SenderTableFull,
};

constexpr size_t envelopeRefusalCount = static_cast<size_t>(EnvelopeRefusal::SenderTableFull) + 1;

/// @return Stable snake_case name for metrics.
std::string_view envelopeRefusalName(EnvelopeRefusal);

/// Encodes and authenticates datagrams between nodes. A datagram holds version, type, key id, sender, incarnation,
/// time of sealing, sequence number, payload, and a keyed BLAKE2b MAC over all of these. Replayed datagrams are
/// refused: a sliding window tracks the sequence numbers of a sender's current incarnation, the time of sealing orders
/// its incarnations, and datagrams whose time of sealing differs from the wall clock by more than maxClockSkew are
/// refused, so that the state of a silent sender can be dropped. Safe for concurrent use.
class Envelope {
public:
    /// @return The envelope, ErrorCode::InvalidArgument for invalid keys or an invalid VM name, or
    /// ErrorCode::Unavailable if libsodium cannot be initialised.
    static Result<std::unique_ptr<Envelope>> create(EnvelopeSettings, VmId self, Incarnation, const Clock&);

    /// Encodes and signs a message with the first key.
    /// @param payload At most maxPayloadBytes bytes.
    /// @return The datagram, at most maxDatagramBytes bytes.
    std::string seal(ControlMessageType, std::string_view payload);

    /// Verifies and decodes a datagram.
    /// @return The message, or ErrorCode::TooLarge, InvalidDocument, Unauthenticated, Replayed, Stale or Unavailable.
    Result<ControlMessage> open(std::string_view datagram);

    uint64_t sealedCount() const { return m_sealedCount.load(std::memory_order_relaxed); }
    uint64_t openedCount() const { return m_openedCount.load(std::memory_order_relaxed); }
    uint64_t refusedCount(EnvelopeRefusal) const;

private:
    struct Header;
    struct Sender {
        Incarnation incarnation;
        int64_t newestSealTimeMs = 0;
        ReplayWindow window;
        std::array<uint64_t, 4> previousIncarnations {};
        size_t previousIncarnationCount = 0;
        SteadyTime lastReceivedAt;
        double rateTokens = 0;
    };

    Envelope(EnvelopeSettings, VmId self, Incarnation, const Clock&);
    boost::leaf::error_id refuse(EnvelopeRefusal);
    const ControlKey* findKey(uint8_t id) const;
    int64_t wallClockMs() const;
    std::optional<EnvelopeRefusal> checkFreshness(const Header&);
    std::optional<EnvelopeRefusal> checkIncarnation(Sender&, const Header&) const;
    void removeExpiredSenders(SteadyTime now);

    const EnvelopeSettings m_settings;
    const VmId m_self;
    const Incarnation m_incarnation;
    const Clock& m_clock;
    std::atomic<uint64_t> m_sequence { 0 };
    std::atomic<uint64_t> m_sealedCount { 0 };
    std::atomic<uint64_t> m_openedCount { 0 };
    std::array<std::atomic<uint64_t>, envelopeRefusalCount> m_refusedCounts {};

    // Guarded by m_mutex.
    std::mutex m_mutex;
    std::unordered_map<std::string, Sender> m_senders;
    SteadyTime m_lastSweepAt;
};

}

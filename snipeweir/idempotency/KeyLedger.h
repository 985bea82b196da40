#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Result.h"
#include "snipeweir/idempotency/IdempotencyKey.h"
#include "snipeweir/idempotency/LedgerResult.h"

#include <chrono>
#include <cstring>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace snipeweir {

/// Settings of KeyLedger.
struct KeyLedgerSettings {
    /// Service that this node serves. A key for another service is refused.
    ServiceName service;
    /// Maximum number of keys held at once (key_ledger_count).
    size_t keyCount = 20000;
    /// Time from the issue of a key to its expiry, by the executor's uptime (key_window_ms).
    std::chrono::milliseconds keyWindow { 600000 };
    /// Maximum size of a response that is kept for repeats, headers included (kept_answer_bytes).
    size_t keptResponseBytes = 4096;
    /// Maximum size of all kept responses together. 32 MiB is a quarter of a node's memory budget.
    size_t keptResponsesTotalBytes = size_t { 32 } << 20;
    /// How far the uptime in a key may be ahead of the executor's own. An estimate that is ten minutes old is wrong by
    /// 0.3 s at a clock error of 500 ppm, and a short pause of the VM adds to the error.
    std::chrono::milliseconds futureTolerance { 5000 };
};

/// The executor's deduplication table of keys and their outcomes. Each key is absent, running, done, sealed, or of
/// unknown outcome; a key runs at most once and a refused key never runs. An entry stays until its key expires. Not
/// safe for concurrent use: the node guards it by one mutex, which it does not hold between calls.
class KeyLedger {
public:
    /// @param settings Limits and the service, which must be named.
    /// @param self The node's own VM.
    /// @param selfIncarnation Incarnation of this process.
    /// @param clock Source of time; must outlive the ledger.
    /// @param startedAt Start of this process, the origin of its uptime.
    /// @return The ledger, or ErrorCode::InvalidArgument.
    static Result<std::unique_ptr<KeyLedger>> create(
        KeyLedgerSettings settings, VmId self, Incarnation selfIncarnation, const Clock& clock, SteadyTime startedAt);

    /// Applies new limits. Evicts nothing, and a longer window does not make an expired key valid again.
    /// @param settings Valid settings for the same service; others are ignored.
    void setSettings(const KeyLedgerSettings& settings);

    /// Requests to run a call. Creates the entry before the call is forwarded.
    /// @param key A key that KeyIssuer::open() returned.
    /// @param proposedSuccessor Key for another executor, recorded if the key is sealed now.
    /// @param requestHash Hash of method, path and body; 0 for none. A repeat with another hash is a different request.
    LedgerResult begin(const IdempotencyKey& key, const std::optional<IdempotencyKey>& proposedSuccessor = std::nullopt,
        uint64_t requestHash = 0);

    /// Refuses a call that does not own the run. Seals an absent key, and does not change a known one, because the
    /// refusal of a repeat says nothing about the first call.
    /// @param reason Reason of the refusal.
    /// @return The result to report, which is not always a refusal.
    LedgerResult refuse(const IdempotencyKey& key, Reason reason,
        const std::optional<IdempotencyKey>& proposedSuccessor = std::nullopt);

    /// Ends the run that begin() granted when the call has not run: it was not forwarded, or the backend server proved
    /// that it did not run it. Only for the owner of the run.
    /// @return The result to report.
    LedgerResult seal(
        const IdempotencyKey& key, Reason reason, const std::optional<IdempotencyKey>& successor = std::nullopt);

    /// Ends the run with a complete response. Also accepted after finishUnknown().
    /// @param response The response; empty if it was too large to collect.
    void finish(const IdempotencyKey& key, std::optional<StoredResponse> response);

    /// Ends the run without knowing whether the backend server ran the call.
    void finishUnknown(const IdempotencyKey& key, Reason reason);

    /// @return The result that a repeat would get now; does not change the ledger.
    LedgerResult lookUp(const IdempotencyKey& key) const;

    /// Removes entries of expired keys. begin() also does so.
    void expire();

    size_t size() const { return m_entries.size(); }
    size_t keptBytes() const { return m_keptBytes; }

private:
    enum class State : uint8_t {
        Running,
        Done,
        Sealed,
        UnknownOutcome,
    };
    struct Entry {
        State state = State::Running;
        /// Set when the key expired during its run; the entry is removed at the end of the run.
        bool hasExpired = false;
        Reason reason = Reason::None;
        std::chrono::milliseconds uptime { 0 };
        uint64_t requestHash = 0;
        std::string successor;
        std::shared_ptr<const StoredResponse> response;
    };
    struct NonceHash {
        /// The nonce is random and protected by a MAC, so its own bits serve as the hash.
        size_t operator()(const KeyNonce& nonce) const
        {
            size_t hash = 0;
            std::memcpy(&hash, nonce.data(), sizeof hash);
            return hash;
        }
    };
    using Expiry = std::pair<std::chrono::milliseconds, KeyNonce>;

    KeyLedger(
        KeyLedgerSettings settings, VmId self, Incarnation selfIncarnation, const Clock& clock, SteadyTime startedAt);

    std::optional<LedgerResult> rejectMisdirected(const IdempotencyKey& key) const;
    LedgerResult resultOf(const Entry& entry) const;
    LedgerResult insertEntry(const IdempotencyKey& key, Entry entry, const std::optional<IdempotencyKey>& successor);
    std::string acceptedSuccessor(const IdempotencyKey& key, const std::optional<IdempotencyKey>& successor) const;
    std::chrono::milliseconds uptime() const;
    void removeIfExpired(std::unordered_map<KeyNonce, Entry, NonceHash>::iterator position);

    KeyLedgerSettings m_settings;
    const VmId m_self;
    const Incarnation m_selfIncarnation;
    const Clock& m_clock;
    const SteadyTime m_startedAt;
    std::unordered_map<KeyNonce, Entry, NonceHash> m_entries;
    std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> m_expiries;
    /// Keys issued at or before this uptime have expired permanently.
    std::chrono::milliseconds m_expiredThrough { -1 };
    /// Keys without an entry that were issued at or before this uptime are refused permanently, because the ledger was
    /// full.
    std::chrono::milliseconds m_refusedThrough { -1 };
    size_t m_keptBytes = 0;
};

}

#pragma once

#include "snipeweir/core/Clock.h"

#include <algorithm>
#include <optional>

namespace snipeweir {

/// Decides from the time of the last confirmation of the configuration which decisions about API keys it still allows.
/// A confirmation says that the source had the operators' document that is in force here. For one thread.
class ConfigurationFreshness {
public:
    /// What a node does with known keys while it cannot confirm its configuration.
    enum class Mode {
        /// The last known keys stay valid.
        KeepKeys,
        /// Requests with a key are rejected once the configuration is older than maxAge.
        RejectWhenOld,
    };

    struct Settings {
        Mode mode = Mode::KeepKeys;
        /// Time without a confirmation after which RejectWhenOld rejects requests with a key.
        std::chrono::milliseconds maxAge { 5000 };
        /// Time without a confirmation after which an unknown key is no longer denied, since a later version may
        /// contain it. Above the 0.7 s between confirmations, of which some are lost, and below the 2.5 s within which
        /// connected nodes must apply a new version.
        std::chrono::milliseconds maxDenialAge { 2000 };
    };

    explicit ConfigurationFreshness(const Clock& clock)
        : m_clock(clock)
    {
    }

    void setSettings(Settings settings) { m_settings = settings; }

    /// Records which document is in force here.
    void onDocument(uint64_t digest)
    {
        m_digest = digest;
        apply(m_latest);
    }

    /// Records a confirmation, which may arrive before the document that it confirms.
    /// @param digest Digest of the document that the source had.
    /// @param asOf Time at which it had it.
    void onConfirmed(uint64_t digest, SteadyTime asOf)
    {
        if (m_clock.now() < m_ignoredUntil)
            return;
        if (asOf >= m_latest.asOf)
            m_latest = { digest, asOf };
        apply({ digest, asOf });
    }

    /// Discards the confirmations since a suspension of the process began. Datagrams that arrived before or during it
    /// are read only afterwards and are older than they appear.
    void onSuspended(SteadyTime since)
    {
        m_latest = {};
        if (m_confirmedAt)
            m_confirmedAt = std::min(*m_confirmedAt, since);
        m_ignoredUntil = m_clock.now() + queueDrainTime;
    }

    /// @return Whether a request with a known key may run.
    bool mayAccept() const { return m_settings.mode == Mode::KeepKeys || age() <= m_settings.maxAge; }

    /// @return Whether a request may be rejected for good because its key is missing or unknown.
    bool mayDeny() const { return age() <= m_settings.maxDenialAge; }

    /// @return Time since the configuration was last known to be current; the maximum if it never was.
    std::chrono::nanoseconds age() const
    {
        return m_confirmedAt ? m_clock.now() - *m_confirmedAt : std::chrono::nanoseconds::max();
    }

private:
    struct Confirmation {
        uint64_t digest = 0;
        SteadyTime asOf {};
    };

    void apply(const Confirmation& confirmation)
    {
        if (confirmation.asOf == SteadyTime {} || confirmation.digest != m_digest)
            return;
        m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, confirmation.asOf) : confirmation.asOf;
    }

    /// Time after a suspension within which all datagrams that had arrived before have been read.
    static constexpr std::chrono::milliseconds queueDrainTime { 100 };

    const Clock& m_clock;
    Settings m_settings;
    std::optional<uint64_t> m_digest;
    /// The latest confirmation, also of a document that is not in force here yet.
    Confirmation m_latest;
    std::optional<SteadyTime> m_confirmedAt;
    SteadyTime m_ignoredUntil {};
};

}

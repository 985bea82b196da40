#pragma once

#include "snipeweir/core/Clock.h"

#include <algorithm>
#include <cstdint>

namespace snipeweir {

/// Decides when this node reads the source itself. To spare the source one call per node, the node of rank 0 reads and
/// announces what it has read, and nodes of higher ranks read only if their view becomes older than a threshold that
/// increases with the rank. No election is needed, because two concurrent readers only cost an additional call. Reads
/// back off after failures.
class SourcePollSchedule {
public:
    struct Settings {
        /// Age of the view at which the node of rank 0 reads. A change must take effect within two seconds; reading,
        /// announcing and fetching may take as long as this period again.
        std::chrono::milliseconds period { 700 };
        /// Increase of that age per rank. Longer than a read and its announcement take.
        std::chrono::milliseconds step { 150 };
        /// Higher ranks have the same threshold as this one, so that the last node still reads in time.
        uint32_t maxRank = 7;
        /// Maximum delay after failed reads, within which the return of the source is noticed.
        std::chrono::milliseconds maxBackoff { 1600 };
        /// Time that a starting node waits for an announcement, because all nodes may start at once.
        std::chrono::milliseconds startDelay { 20 };
    };

    explicit SourcePollSchedule(Settings settings)
        : m_settings(settings)
    {
    }

    /// @param jitter Additional delay of the first read, different for each node to spread the reads of the fleet.
    void start(SteadyTime now, std::chrono::milliseconds jitter) { m_notBefore = now + m_settings.startDelay + jitter; }

    /// @param rank Position of this node among all nodes, from zero.
    void setRank(uint32_t rank) { m_rank = rank; }

    /// Records that the view was current at the given time, according to a read by this node or an announcement.
    void onViewCurrent(SteadyTime asOf) { m_freshAt = std::max(m_freshAt, asOf); }

    void onReadFailed(SteadyTime now)
    {
        m_backoff = std::min(std::max(m_backoff * 2, m_settings.period), m_settings.maxBackoff);
        m_notBefore = now + m_backoff;
    }

    void onReadSucceeded() { m_backoff = std::chrono::milliseconds(0); }

    /// @return Time of the next read, unless the view is refreshed before.
    SteadyTime nextRead() const
    {
        const uint32_t rank = std::min(m_rank, m_settings.maxRank);
        return std::max(m_freshAt + m_settings.period + rank * m_settings.step, m_notBefore);
    }

    /// @return Age of the view.
    std::chrono::nanoseconds age(SteadyTime now) const { return now - m_freshAt; }

    SteadyTime lastCurrentAt() const { return m_freshAt; }

private:
    Settings m_settings;
    uint32_t m_rank = 0;
    SteadyTime m_freshAt {};
    SteadyTime m_notBefore {};
    std::chrono::milliseconds m_backoff { 0 };
};

}

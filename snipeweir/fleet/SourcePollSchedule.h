#pragma once

#include "snipeweir/core/Clock.h"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>

namespace snipeweir {

/// Decides when this node reads the source itself. To spare the source one call per node, the node of rank 0 reads and
/// announces what it has read, and nodes of higher ranks read only if their view becomes older than a threshold that
/// increases with the rank. No election is needed, because two concurrent readers only cost an additional call. Reads
/// back off after failures. While the source is unavailable to all nodes, those of low ranks go on trying and say so;
/// the others then try once and after that so rarely that the load on the source does not grow with the fleet.
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
        /// Time for which a node of a higher rank relies on another node that has tried to read.
        std::chrono::milliseconds readerPatience { 1750 };
        /// Interval at which the nodes of higher ranks together try again while they rely on others.
        std::chrono::milliseconds fleetRetryInterval { 100 };
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
    /// @param fleetSize Number of nodes.
    void setRank(uint32_t rank, size_t fleetSize)
    {
        m_rank = rank;
        m_fleetSize = fleetSize;
    }

    /// Records that the view was current at the given time, according to a read by this node or an announcement.
    void onViewCurrent(SteadyTime asOf) { m_freshAt = std::max(m_freshAt, asOf); }

    /// Records that another node has tried to read the source, whether it could or not.
    void onReaderHeard(SteadyTime now) { m_readerHeardAt = now; }

    void onReadFailed(SteadyTime now)
    {
        m_backoff = std::min(std::max(m_backoff * 2, m_settings.period), m_settings.maxBackoff);
        m_notBefore = now + m_backoff;
        m_fleetRetryAt = now + m_settings.fleetRetryInterval * static_cast<int64_t>(m_fleetSize);
    }

    void onReadSucceeded()
    {
        m_backoff = std::chrono::milliseconds(0);
        m_fleetRetryAt = {};
    }

    /// @return Time of the next read, unless the view is refreshed or another reader is heard before.
    SteadyTime nextRead() const
    {
        const uint32_t rank = std::min(m_rank, m_settings.maxRank);
        const SteadyTime own = std::max(m_freshAt + m_settings.period + rank * m_settings.step, m_notBefore);
        if (m_rank <= m_settings.maxRank || m_freshAt == SteadyTime {})
            return own;
        const SteadyTime deferred = std::max(own + groupDelay(), m_fleetRetryAt);
        return std::max(own, std::min(deferred, m_readerHeardAt + m_settings.readerPatience));
    }

    /// @return Age of the view.
    std::chrono::nanoseconds age(SteadyTime now) const { return now - m_freshAt; }

    SteadyTime lastCurrentAt() const { return m_freshAt; }

private:
    /// @return Delay of the first read after those of the low ranks, by one step for each doubling of the rank.
    std::chrono::milliseconds groupDelay() const
    {
        const auto group = std::bit_width(m_rank / (m_settings.maxRank + 1));
        return m_settings.step * static_cast<int64_t>(group);
    }

    Settings m_settings;
    uint32_t m_rank = 0;
    size_t m_fleetSize = 1;
    SteadyTime m_readerHeardAt {};
    /// Time of the next read while this node relies on others.
    SteadyTime m_fleetRetryAt {};
    SteadyTime m_freshAt {};
    SteadyTime m_notBefore {};
    std::chrono::milliseconds m_backoff { 0 };
};

}

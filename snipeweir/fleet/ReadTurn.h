#pragma once

#include "snipeweir/core/Clock.h"

#include <algorithm>
#include <cstdint>

namespace snipeweir {

/// Decides when this node reads the source itself. All nodes would cost the source a call each; instead the node of
/// rank 0 reads and announces, and a node of a later rank takes over only when its view has grown older than its
/// threshold. No election is needed: two readers at once cost a call, nothing else. Failed reads back off.
class ReadTurn {
public:
    struct Settings {
        /// Age of the view at which the node of rank 0 reads. A change must be in force within two seconds, of which
        /// reading, announcing and fetching may take as long again.
        std::chrono::milliseconds period { 700 };
        /// Extra age for each rank. Longer than a read and its announcement take.
        std::chrono::milliseconds step { 150 };
        /// Ranks beyond this one share its threshold, so that the last node still reads in time.
        uint32_t maxRank = 7;
        /// Longest pause after failed reads: a source that returns is noticed within it.
        std::chrono::milliseconds maxBackoff { 1600 };
        /// A node that starts waits this long for an announcement, since all may start at once.
        std::chrono::milliseconds startDelay { 20 };
    };

    explicit ReadTurn(Settings settings)
        : m_settings(settings)
    {
    }

    /// @param extra Time by which this node's first read is put off beyond the start delay, random in the fleet.
    void start(SteadyTime now, std::chrono::milliseconds extra) { m_notBefore = now + m_settings.startDelay + extra; }

    /// @param rank Position of this node among all nodes, from zero.
    void setRank(uint32_t rank) { m_rank = rank; }

    /// Notes that the view was current at a time, by an own read or an announcement.
    void onFresh(SteadyTime asOf) { m_freshAt = std::max(m_freshAt, asOf); }

    void onReadFailed(SteadyTime now)
    {
        m_backoff = std::min(std::max(m_backoff * 2, m_settings.period), m_settings.maxBackoff);
        m_notBefore = now + m_backoff;
    }

    void onReadSucceeded() { m_backoff = std::chrono::milliseconds(0); }

    /// @return Time of the next read unless the view becomes current before.
    SteadyTime nextRead() const
    {
        const uint32_t rank = std::min(m_rank, m_settings.maxRank);
        return std::max(m_freshAt + m_settings.period + rank * m_settings.step, m_notBefore);
    }

    /// @return Age of the view.
    std::chrono::nanoseconds age(SteadyTime now) const { return now - m_freshAt; }

    SteadyTime freshAt() const { return m_freshAt; }

private:
    Settings m_settings;
    uint32_t m_rank = 0;
    SteadyTime m_freshAt {};
    SteadyTime m_notBefore {};
    std::chrono::milliseconds m_backoff { 0 };
};

}

#pragma once

#include "snipeweir/core/Clock.h"

#include <cstdint>
#include <optional>

namespace snipeweir {

/// Decides when a node that has started or was paused may treat its documents as current: after the queried peers
/// have replied, or when no peer replies in time. Owned by the control thread.
class CatchUp {
public:
    /// Peers queried at a time.
    static constexpr size_t queryFanout = 3;

    /// @param replyTimeout Time after which the node stops waiting for replies.
    /// @param settleTime Time to wait for further replies after the first one.
    CatchUp(std::chrono::milliseconds replyTimeout, std::chrono::milliseconds settleTime)
        : m_replyTimeout(replyTimeout)
        , m_settleTime(settleTime)
    {
    }

    /// Starts a new round of queries.
    /// @param roundId Identifies this round. Stale replies left in the socket buffer carry the ID of an earlier round.
    /// @param now Current time.
    void restart(uint64_t roundId, SteadyTime now);

    /// @return Whether a query is due now. If so, counts it and schedules the next one.
    bool startQueryIfDue(SteadyTime now);

    /// @param peers Number of peers that a query was sent to. The largest number of the round counts.
    void recordQueried(size_t peers);

    /// Counts a reply from a peer that has itself caught up. Ignores replies to queries of other rounds.
    void recordReply(uint64_t roundId, SteadyTime now);

    /// Ends the round if its conditions are met.
    /// @param holdsNewest Whether both documents are in force and no newer revision is known.
    /// @param hasPeers Whether any other member is known.
    /// @param now Current time.
    void update(bool holdsNewest, bool hasPeers, SteadyTime now);

    /// @return Number of queries in this round.
    size_t queryCount() const { return m_queryCount; }

    uint64_t roundId() const { return m_roundId; }
    bool isDone() const { return m_isDone; }

private:
    const std::chrono::milliseconds m_replyTimeout;
    const std::chrono::milliseconds m_settleTime;
    bool m_isDone = false;
    uint64_t m_roundId = 0;
    SteadyTime m_startedAt;
    SteadyTime m_nextQueryAt;
    size_t m_queryCount = 0;
    size_t m_queriedPeerCount = 0;
    size_t m_replyCount = 0;
    std::optional<SteadyTime> m_firstReplyAt;
};

}

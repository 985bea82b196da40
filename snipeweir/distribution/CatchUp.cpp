#include "snipeweir/distribution/CatchUp.h"

#include <algorithm>

namespace snipeweir {

namespace {

    constexpr std::chrono::milliseconds queryInterval { 500 };

}

void CatchUp::restart(uint64_t roundId, SteadyTime now)
{
    m_isDone = false;
    m_roundId = roundId;
    m_startedAt = now;
    m_nextQueryAt = now;
    m_queryCount = 0;
    m_queriedPeerCount = 0;
    m_replyCount = 0;
    m_firstReplyAt.reset();
}

bool CatchUp::startQueryIfDue(SteadyTime now)
{
    if (m_isDone || now < m_nextQueryAt)
        return false;
    m_nextQueryAt = now + queryInterval;
    ++m_queryCount;
    return true;
}

void CatchUp::recordQueried(size_t peers) { m_queriedPeerCount = std::max(m_queriedPeerCount, peers); }

void CatchUp::recordReply(uint64_t roundId, SteadyTime now)
{
    if (m_isDone || roundId != m_roundId)
        return;
    ++m_replyCount;
    if (!m_firstReplyAt)
        m_firstReplyAt = now;
}

void CatchUp::update(bool holdsNewest, bool hasPeers, SteadyTime now)
{
    if (m_isDone || !holdsNewest)
        return;

    // Wait for several replies, because a single peer may itself hold an old revision.
    const bool hasReplies
        = m_firstReplyAt && (m_replyCount >= m_queriedPeerCount || now - *m_firstReplyAt >= m_settleTime);
    m_isDone = hasReplies || !hasPeers || now - m_startedAt >= m_replyTimeout;
}

}

#include "snipeweir/fleet/OutageTracker.h"

#include <algorithm>

namespace snipeweir {

namespace {

    std::chrono::milliseconds ageOf(SteadyTime time, SteadyTime now)
    {
        return std::max(
            std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(now - time));
    }

}

bool OutageTracker::onViewCurrent(SteadyTime asOf)
{
    if (m_knownSince == SteadyTime {})
        m_knownSince = asOf;
    const bool hasGapEnded = m_lastCurrentAt != SteadyTime {} && asOf - m_lastCurrentAt > minOutage;
    if (hasGapEnded)
        m_gap = { m_lastCurrentAt, asOf };
    m_lastCurrentAt = std::max(m_lastCurrentAt, asOf);
    return hasGapEnded;
}

bool OutageTracker::onContinuity(const SourceContinuity& other, SteadyTime requestedAt, SteadyTime receivedAt)
{
    // A node that started during the gap does not know whether others could read the source before.
    if (!m_gap || receivedAt - other.knownFor > m_gap->start)
        return false;
    if (!other.gap) {
        m_gap.reset();
        return true;
    }
    const Gap common { std::max(m_gap->start, requestedAt - other.gap->startAge),
        std::min(m_gap->end, receivedAt - other.gap->endAge) };
    const bool isChanged = common.start != m_gap->start || common.end != m_gap->end;
    m_gap = common;
    if (common.end - common.start <= minOutage)
        m_gap.reset();
    return isChanged;
}

SourceContinuity OutageTracker::continuity(SteadyTime now) const
{
    SourceContinuity result;
    if (m_knownSince == SteadyTime {})
        return result;
    result.knownFor = ageOf(m_knownSince, now);
    if (now - m_lastCurrentAt > minOutage)
        result.gap = { ageOf(m_lastCurrentAt, now), std::chrono::milliseconds(0) };
    else if (m_gap)
        result.gap = { ageOf(m_gap->start, now), ageOf(m_gap->end, now) };
    return result;
}

}

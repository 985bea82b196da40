#include "snipeweir/fleet/EraTracker.h"

#include <algorithm>
#include <utility>

namespace snipeweir {

bool EraTracker::onEra(uint64_t era, SteadyTime seenAt)
{
    if (m_isKnown && era <= m_era)
        return false;
    const bool isChange = std::exchange(m_isKnown, true);
    if (isChange)
        m_begin = seenAt;
    m_era = era;
    return isChange;
}

void EraTracker::onBegin(uint64_t era, SteadyTime begin)
{
    if (m_isKnown && era == m_era)
        m_begin = m_begin ? std::min(*m_begin, begin) : begin;
}

}

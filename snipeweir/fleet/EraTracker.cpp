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
    m_heardAt = seenAt;
    m_era = era;
    return isChange;
}

void EraTracker::onBegin(uint64_t era, SteadyTime begin)
{
    // The era was there when this node first heard of it, however late another node did.
    if (m_isKnown && era == m_era)
        m_begin = std::min({ begin, m_heardAt, m_begin.value_or(begin) });
}

}

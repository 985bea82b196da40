#include "snipeweir/membership/LocalHealth.h"

#include <algorithm>
#include <map>

namespace snipeweir {

void LocalHealth::onPingResult(const VmId& target, bool isAcknowledged, bool wasSuspected)
{
    m_targetResults.emplace_back(target, isAcknowledged);
    if (m_targetResults.size() > recoveryWindow)
        m_targetResults.pop_front();
    // Another failed ping of a member that was already suspected says nothing new about this node.
    if (isAcknowledged || !wasSuspected)
        m_recentResults.push_back(isAcknowledged);
    if (m_recentResults.size() > degradedWindow)
        m_recentResults.pop_front();
    if (m_arePingsFailing) {
        m_arePingsFailing = m_targetResults.size() < recoveryWindow || areMostTargetsSilent();
    } else if (areRecentPingsFailing()) {
        m_arePingsFailing = true;
        m_targetResults.clear();
    }
}

bool LocalHealth::areRecentPingsFailing() const
{
    const auto failed = static_cast<size_t>(std::count(m_recentResults.begin(), m_recentResults.end(), false));
    return m_recentResults.size() >= minResults && 2 * failed >= m_recentResults.size();
}

bool LocalHealth::areMostTargetsSilent() const
{
    std::map<VmId, bool> latest;
    for (const auto& [vm, isAcknowledged] : m_targetResults)
        latest[vm] = isAcknowledged;
    const auto silent = static_cast<size_t>(
        std::count_if(latest.begin(), latest.end(), [](const auto& entry) { return !entry.second; }));
    return 2 * silent > latest.size();
}

void LocalHealth::onTick(SteadyTime now, size_t suspectedCount, size_t liveCount)
{
    // A single silent member is no sign of isolation: in a data centre of two, the other one has simply failed.
    const bool isIsolated = suspectedCount >= 2 && 2 * suspectedCount > liveCount;
    if (!isIsolated)
        m_isolatedSince.reset();
    else if (!m_isolatedSince)
        m_isolatedSince = now;
    // The degraded time is bounded, so that a data centre which really lost most of its members declares them dead in
    // the end.
    const bool isDegradedByIsolation
        = m_isolatedSince && now - *m_isolatedSince < m_settings.maxDegradedTimeByIsolation;
    m_isPausedOrIsolated = now < m_pausedUntil || isDegradedByIsolation;
}

}

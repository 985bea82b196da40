#pragma once

#include "snipeweir/membership/MembershipSettings.h"

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"

#include <deque>
#include <optional>

namespace snipeweir {

/// Estimates whether this node itself is the likely cause of unanswered pings: after a pause, when half of its recent
/// pings failed, or when most members of its data centre are silent. A degraded node declares no member dead unless a
/// second source confirms it. Owned by the control thread.
class LocalHealth {
public:
    LocalHealth(const MembershipSettings& settings, SteadyTime now)
        : m_settings(settings)
        , m_pausedUntil(now)
    {
    }

    void onPaused(SteadyTime now) { m_pausedUntil = now + m_settings.degradedTimeAfterPause; }

    /// Records the result of one of the node's own pings.
    /// @param wasSuspected Whether the target was suspected before the ping.
    void onPingResult(const VmId& target, bool isAcknowledged, bool wasSuspected);

    /// @param suspectedCount Suspected members of the own data centre.
    /// @param liveCount Suspected and alive members of the own data centre without this node.
    void onTick(SteadyTime now, size_t suspectedCount, size_t liveCount);

    bool isDegraded() const { return m_arePingsFailing || m_isPausedOrIsolated; }

private:
    // The node becomes degraded when half of the last four pings failed: the first suspicion of an isolated node
    // expires about four pings after the isolation, so the node has to be degraded by then. It recovers when at most
    // half of the members among the last eight pings since then are silent. Each member counts once there, so that a
    // few that really failed do not delay the recovery.
    static constexpr size_t degradedWindow = 4;
    static constexpr size_t recoveryWindow = 8;
    static constexpr size_t minResults = 2;

    bool areRecentPingsFailing() const;
    bool areMostTargetsSilent() const;

    const MembershipSettings& m_settings;
    SteadyTime m_pausedUntil;
    std::deque<bool> m_recentResults;
    std::deque<std::pair<VmId, bool>> m_targetResults;
    std::optional<SteadyTime> m_isolatedSince;
    bool m_arePingsFailing = false;
    bool m_isPausedOrIsolated = false;
};

}

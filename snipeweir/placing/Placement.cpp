#include "snipeweir/placing/Placement.h"

#include <algorithm>
#include <cmath>

namespace snipeweir {

std::chrono::microseconds Placement::expectedLatency(
    const RequestProfile& profile, const PlacementCandidate& candidate) const
{
    const NodeLoad& load = candidate.load;
    const double age = std::chrono::duration<double>(candidate.loadAge).count();
    const double halfLife = std::chrono::duration<double>(m_settings.slownessHalfLife).count();
    const double freshness = std::exp2(-age / halfLife);
    const double slowness
        = (load.slownessPercent * freshness + m_settings.defaultSlownessPercent * (1 - freshness)) / 100.0;
    const bool hasLimitedRate = load.startTokens < NodeLoad::unlimitedStartTokens;

    const auto usualServiceTime = static_cast<double>(profile.usualServiceTime.count());
    double expectedServiceTime = usualServiceTime * slowness * (hasLimitedRate ? m_settings.limitedRateFactor : 1.0);
    // The serving node delays long requests until a transient slowdown has ended.
    const auto slowdownDuration = std::chrono::duration<double, std::micro>(NodeLoad::typicalSlowdownDuration).count();
    if (load.isSlowdownTransient)
        expectedServiceTime = std::min(expectedServiceTime, slowdownDuration + usualServiceTime);
    const double limit = std::max(1U, load.limit);
    double queueTime = 0;
    if (load.running >= load.limit || load.waiting > 0) {
        const double meanServiceTime = std::max(static_cast<double>(load.meanServiceTime.count()), expectedServiceTime);
        queueTime = (load.waiting + 1) * meanServiceTime / limit;
    }
    if (load.startTokens == 0)
        queueTime = std::max(queueTime, (load.waiting + 1.0) * static_cast<double>(load.startInterval.count()));
    // Backend servers slow down with rising utilization, so the less utilized of two equals is preferred.
    const double utilization = std::min(1.0, load.running / limit);
    const double utilizationFactor = 1 + 0.25 * utilization * utilization;
    return candidate.roundTrip * m_settings.hopRoundTrips
        + std::chrono::microseconds(static_cast<int64_t>(queueTime + expectedServiceTime * utilizationFactor));
}

double Placement::cost(const RequestProfile& profile, const PlacementCandidate& candidate) const
{
    // Once the target is nearly reached or has passed, only the latencies are compared.
    constexpr std::chrono::microseconds minTarget { 50'000 };
    const auto target = std::max(profile.timeToTarget, minTarget);
    const double latencyRatio
        = static_cast<double>(expectedLatency(profile, candidate).count()) / static_cast<double>(target.count());
    const double crossDataCentreCost
        = candidate.isSameDataCentre ? 0 : profile.responseBytes * m_settings.costPerCrossDataCentreByte;
    return latencyRatio * latencyRatio + crossDataCentreCost
        + m_settings.failureCost * candidate.load.failurePercent / 100.0;
}

std::optional<size_t> Placement::choose(
    const RequestProfile& profile, const std::vector<PlacementCandidate>& candidates) const
{
    const auto best = chooseAmong(profile, candidates, false);
    return best ? best : chooseAmong(profile, candidates, true);
}

std::optional<size_t> Placement::chooseAmong(
    const RequestProfile& profile, const std::vector<PlacementCandidate>& candidates, bool isUnresponsive) const
{
    std::optional<size_t> best;
    double bestCost = 0;
    for (size_t index = 0; index < candidates.size(); ++index) {
        const NodeLoad& load = candidates[index].load;
        if (!load.isAccepting || candidates[index].isUnresponsive != isUnresponsive)
            continue;
        if (isUnresponsive && candidates[index].loadAge > m_settings.maxUnresponsiveReportAge)
            continue;
        const double candidateCost = cost(profile, candidates[index]);
        if (!best || candidateCost < bestCost) {
            best = index;
            bestCost = candidateCost;
        }
    }
    return best;
}

}

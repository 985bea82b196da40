#include "snipeweir/placing/Placement.h"

#include <algorithm>
#include <cmath>

namespace snipeweir {

std::chrono::microseconds Placement::expectedLatency(
    const RequestProfile& profile, const PlacementCandidate& candidate) const
{
    const NodeLoad& load = candidate.load;
    const double age = std::chrono::duration<double>(candidate.age).count();
    const double halfLife = std::chrono::duration<double>(m_settings.slownessHalfLife).count();
    const double freshness = std::exp2(-age / halfLife);
    const double slowness
        = (load.slownessPercent * freshness + m_settings.usualSlownessPercent * (1 - freshness)) / 100.0;
    const bool isCold = load.coldTokens < NodeLoad::noColdBound;

    const auto work = static_cast<double>(profile.work.count());
    double run = work * slowness * (isCold ? m_settings.coldFactor : 1.0);
    // The serving node starts a long request only when a passing slowness is over.
    const auto passes = std::chrono::duration<double, std::micro>(NodeLoad::slownessLasts).count();
    if (load.isSlownessPassing)
        run = std::min(run, passes + work);
    const double limit = std::max(1U, load.limit);
    double wait = 0;
    if (load.running >= load.limit || load.waiting > 0) {
        const double meanRun = std::max(static_cast<double>(load.meanRun.count()), run);
        wait = (load.waiting + 1) * meanRun / limit;
    }
    if (load.coldTokens == 0)
        wait = std::max(wait, (load.waiting + 1.0) * static_cast<double>(load.coldInterval.count()));
    // Backend servers slow down as they fill up, so an emptier one is preferred among equals.
    const double share = std::min(1.0, load.running / limit);
    const double crowding = 1 + 0.25 * share * share;
    return candidate.roundTrip * m_settings.hopRoundTrips
        + std::chrono::microseconds(static_cast<int64_t>(wait + run * crowding));
}

double Placement::cost(const RequestProfile& profile, const PlacementCandidate& candidate) const
{
    // A target that has passed leaves only the comparison of latencies.
    constexpr std::chrono::microseconds leastTarget { 50'000 };
    const auto target = std::max(profile.targetLeft, leastTarget);
    const double share
        = static_cast<double>(expectedLatency(profile, candidate).count()) / static_cast<double>(target.count());
    const double distance = candidate.isSameDataCentre ? 0 : profile.answerBytes * m_settings.costPerCrossByte;
    return share * share + distance + m_settings.failureCost * candidate.load.failurePercent / 100.0;
}

std::optional<size_t> Placement::choose(
    const RequestProfile& profile, const std::vector<PlacementCandidate>& candidates) const
{
    const auto best = chooseAmong(profile, candidates, false);
    return best ? best : chooseAmong(profile, candidates, true);
}

std::optional<size_t> Placement::chooseAmong(
    const RequestProfile& profile, const std::vector<PlacementCandidate>& candidates, bool isSilent) const
{
    std::optional<size_t> best;
    double bestCost = 0;
    for (size_t position = 0; position < candidates.size(); ++position) {
        const NodeLoad& load = candidates[position].load;
        if (!load.isAccepting || candidates[position].isSilent != isSilent)
            continue;
        if (isSilent && candidates[position].age > m_settings.silentReportLife)
            continue;
        const double candidateCost = cost(profile, candidates[position]);
        if (!best || candidateCost < bestCost) {
            best = position;
            bestCost = candidateCost;
        }
    }
    return best;
}

}

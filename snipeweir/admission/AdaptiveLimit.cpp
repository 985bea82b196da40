#include "snipeweir/admission/AdaptiveLimit.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace snipeweir {

namespace {

    constexpr uint32_t minWindowResults = 10;

    // A failure rate of 20% is well above isolated bad requests and still far below that of a failed server.
    constexpr double failureRateThreshold = 0.2;
    constexpr double failureReductionFactor = 0.7;

    // The latency doubles when calls spend half of their time queued inside the server. Ratios up to 1.5 are noise of
    // small windows.
    constexpr double highLatencyRatio = 2.0;
    constexpr double normalLatencyRatio = 1.5;
    constexpr double minLatencyFactor = 0.5;

}

void AdaptiveLimit::setHardLimit(uint32_t hardLimit)
{
    assert(hardLimit > 0);
    // A raised hard limit takes effect at once only if the limit had reached the old one. A lower limit was set because
    // of latency or failures and rises only with successful calls.
    const bool wasAtHardLimit = m_limit == m_hardLimit;
    m_hardLimit = hardLimit;
    m_limit = wasAtHardLimit ? hardLimit : std::min(m_limit, hardLimit);
}

void AdaptiveLimit::onResult(
    const BackendResult& result, uint32_t running, const LatencyHistory& history, SteadyTime startedAt, SteadyTime now)
{
    if (result.kind == BackendResult::Kind::Cancelled || startedAt < m_lastReduction)
        return;
    ++m_results;
    m_peakRunning = std::max(m_peakRunning, running);
    if (result.kind != BackendResult::Kind::Succeeded)
        ++m_failures;
    if (m_results >= std::max(minWindowResults, m_limit))
        closeWindow(history, now);
}

void AdaptiveLimit::closeWindow(const LatencyHistory& history, SteadyTime now)
{
    const double failureRate = static_cast<double>(m_failures) / m_results;
    const bool wasNearLimit = m_peakRunning + 1 >= m_limit;
    m_results = 0;
    m_failures = 0;
    m_peakRunning = 0;
    if (failureRate >= failureRateThreshold) {
        setLimit(m_limit * failureReductionFactor, now);
        return;
    }
    const double baselineUs = static_cast<double>(history.baseline().count());
    const double ratio = baselineUs > 0 ? static_cast<double>(history.latestMedian().count()) / baselineUs : 1.0;
    // Each latency window reduces the limit at most once.
    const bool isNewWindow = history.completedWindows() != m_evaluatedWindows;
    m_evaluatedWindows = history.completedWindows();
    if (ratio > highLatencyRatio && isNewWindow)
        setLimit(m_limit * std::max(minLatencyFactor, normalLatencyRatio / ratio), now);
    else if (ratio <= normalLatencyRatio && wasNearLimit)
        setLimit(m_limit + 1 + std::floor(m_limit / 10.0), now);
}

void AdaptiveLimit::reduce(SteadyTime now) { setLimit(m_limit * failureReductionFactor, now); }

void AdaptiveLimit::setLimit(double value, SteadyTime now)
{
    const auto next = static_cast<uint32_t>(std::clamp(std::floor(value), 1.0, static_cast<double>(m_hardLimit)));
    if (next < m_limit)
        m_lastReduction = now;
    m_limit = next;
}

}

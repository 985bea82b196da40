#include "snipeweir/admission/ColdDetector.h"

#include <algorithm>
#include <bit>

namespace snipeweir {

namespace {

    // A server is cold after eight bad results among the last sixteen. A server that permanently fails one call in ten
    // reaches this once in some thousand calls. With ten slots, a cold server is detected within two rounds of calls.
    constexpr uint32_t recentResultsMask = (1U << 16) - 1;
    constexpr int coldThreshold = 8;

    // A success while the limit was reached counts for more than one on a nearly idle server.
    constexpr uint32_t successCreditAtLimit = 8;
    constexpr uint32_t successCreditBelowLimit = 1;
    constexpr uint32_t minRoundSuccesses = 3;

    // Up to a quarter of a round may be bad, so that isolated slow calls do not keep a warming server at a low limit.
    constexpr uint32_t allowedBadDivisor = 4;

}

void ColdDetector::onResult(
    const Observation& observation, const LatencyHistory& history, uint32_t hardLimit, SteadyTime now)
{
    // Calls started before the last change of the limit say nothing about the current limit.
    if (observation.result.kind == BackendResult::Kind::Cancelled || observation.startedAt < m_lastChange)
        return;
    const bool isBad = observation.result.kind != BackendResult::Kind::Succeeded || !observation.wasBeforeDeadline
        || history.isFarAboveBaseline(observation.result.latency);
    if (m_isCold)
        onResultWhileCold(isBad, observation.wasLimitReached, hardLimit, now);
    else
        onResultWhileWarm(isBad, now);
}

void ColdDetector::onResultWhileWarm(bool isBad, SteadyTime now)
{
    m_recentBadResults = ((m_recentBadResults << 1) | (isBad ? 1U : 0U)) & recentResultsMask;
    if (std::popcount(m_recentBadResults) >= coldThreshold)
        turnCold(now);
}

void ColdDetector::onResultWhileCold(bool isBad, bool wasLimitReached, uint32_t hardLimit, SteadyTime now)
{
    const uint32_t roundSuccesses = std::max(minRoundSuccesses, m_limit);
    if (isBad) {
        if (++m_badResults <= roundSuccesses / allowedBadDivisor)
            return;
        m_limit = std::max(m_initialLimit, m_limit / 2);
        startRound(now);
        return;
    }
    m_successCredit += wasLimitReached ? successCreditAtLimit : successCreditBelowLimit;
    if (m_successCredit < successCreditAtLimit * roundSuccesses)
        return;

    // A round of successes at the limit either completes the warm-up or raises the limit by one step.
    startRound(now);
    if (m_limit >= hardLimit) {
        m_isCold = false;
        m_recentBadResults = 0;
        return;
    }
    m_limit = std::min(hardLimit, m_limit + std::max(1U, m_limit / 2));
}

void ColdDetector::turnCold(SteadyTime now)
{
    m_isCold = true;
    m_limit = m_initialLimit;
    m_recentBadResults = 0;
    startRound(now);
}

void ColdDetector::startRound(SteadyTime now)
{
    m_successCredit = 0;
    m_badResults = 0;
    m_lastChange = now;
}

}

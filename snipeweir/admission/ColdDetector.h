#pragma once

#include "snipeweir/admission/AdmissionTypes.h"
#include "snipeweir/admission/LatencyHistory.h"

#include <cstdint>

namespace snipeweir {

/// Slow start of a backend server, and detection of a server that became cold without reporting it. A server starts
/// cold. The limit increases only after a round of calls that succeed in time at the current limit, and decreases when
/// calls of a round fail or are late. A failure never raises the limit, however fast it is. Not safe for concurrent
/// use.
class ColdDetector {
public:
    /// @param initialLimit Limit of a cold server, greater than zero.
    explicit ColdDetector(uint32_t initialLimit)
        : m_initialLimit(initialLimit)
        , m_limit(initialLimit)
    {
    }

    /// @param initialLimit New limit of a cold server, greater than zero.
    void setInitialLimit(uint32_t initialLimit) { m_initialLimit = initialLimit; }

    /// Result of a call and the conditions under which it ran.
    struct Observation {
        BackendResult result;
        /// Whether it ended before its deadline.
        bool wasBeforeDeadline = true;
        /// Whether the limit left no slot for another public call when this one ended.
        bool wasLimitReached = false;
        SteadyTime startedAt;
    };

    /// @param observation Result of a call. Calls started before the last change of the limit are ignored.
    /// @param history Latency history without this call.
    /// @param hardLimit Limit of a warm server.
    /// @param now Current time.
    void onResult(const Observation& observation, const LatencyHistory& history, uint32_t hardLimit, SteadyTime now);

    /// Marks the server as cold and resets the limit to the initial one.
    /// @param now Current time.
    void turnCold(SteadyTime now);

    bool isCold() const { return m_isCold; }

    /// @param hardLimit Limit of a warm server.
    /// @return The limit, at most the hard limit.
    uint32_t limit(uint32_t hardLimit) const { return m_isCold && m_limit < hardLimit ? m_limit : hardLimit; }

private:
    void startRound(SteadyTime now);
    void onResultWhileWarm(bool isBad, SteadyTime now);
    void onResultWhileCold(bool isBad, bool wasLimitReached, uint32_t hardLimit, SteadyTime now);

    uint32_t m_initialLimit;
    uint32_t m_limit;
    bool m_isCold = true;
    uint32_t m_successCredit = 0;
    uint32_t m_badResults = 0;
    /// One bit for each of the last 16 results while warm; set for a bad one.
    uint32_t m_recentBadResults = 0;
    SteadyTime m_lastChange;
};

}

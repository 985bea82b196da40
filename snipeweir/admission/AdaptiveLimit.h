#pragma once

#include "snipeweir/admission/AdmissionTypes.h"
#include "snipeweir/admission/LatencyHistory.h"

#include <cstdint>

namespace snipeweir {

/// Adaptive concurrency limit of a warm backend server, at or below the hard limit. Decreases when the latency rises
/// above the server's own baseline or when calls fail, and increases in small steps while calls succeed at the limit.
/// Not safe for concurrent use.
class AdaptiveLimit {
public:
    /// @param hardLimit Maximum number of concurrent calls, greater than zero. Also the initial limit.
    explicit AdaptiveLimit(uint32_t hardLimit)
        : m_hardLimit(hardLimit)
        , m_limit(hardLimit)
    {
    }

    /// @param hardLimit New hard limit, greater than zero.
    void setHardLimit(uint32_t hardLimit);

    /// Records the result of a call and adjusts the limit when a window of results is complete.
    /// @param result Result of the call.
    /// @param running Calls running when the call ended, itself included.
    /// @param history Latency history that includes the call.
    /// @param startedAt Start of the call. Calls started before the last reduction are ignored.
    /// @param now Current time.
    void onResult(const BackendResult& result, uint32_t running, const LatencyHistory& history, SteadyTime startedAt,
        SteadyTime now);

    /// Reduces the limit by one step.
    /// @param now Current time.
    void reduce(SteadyTime now);

    /// @return The limit, from 1 to the hard limit.
    uint32_t limit() const { return m_limit; }

private:
    void closeWindow(const LatencyHistory& history, SteadyTime now);
    void setLimit(double value, SteadyTime now);

    uint32_t m_hardLimit;
    uint32_t m_limit;
    uint32_t m_results = 0;
    uint32_t m_failures = 0;
    uint32_t m_peakRunning = 0;
    /// Number of latency windows at the last adjustment.
    uint64_t m_evaluatedWindows = 0;
    SteadyTime m_lastReduction;
};

}

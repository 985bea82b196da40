#pragma once

#include "snipeweir/core/Clock.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace snipeweir {

/// Baseline latency of one backend server, estimated from the median and the 90th percentile of short windows of its
/// successful calls. The estimates fall quickly and rise slowly, so that a server that becomes slow is compared with
/// its latency from before. Not safe for concurrent use.
class LatencyHistory {
public:
    /// @param latency Latency of a successful call; failures must not be added.
    /// @param now Current time.
    void add(std::chrono::microseconds latency, SteadyTime now);

    /// @return Baseline of the median latency; zero before the first window is complete.
    std::chrono::microseconds baseline() const { return m_baseline; }

    /// @return Median of the last complete window; zero before the first.
    std::chrono::microseconds latestMedian() const { return m_latestMedian; }

    /// @return Number of windows completed.
    uint64_t completedWindows() const { return m_completedWindows; }

    /// @return Whether a latency is far outside the usual distribution; false before the first window is complete.
    bool isFarAboveBaseline(std::chrono::microseconds latency) const;

private:
    std::vector<std::chrono::microseconds> m_window;
    SteadyTime m_windowStart;
    std::chrono::microseconds m_baseline { 0 };
    std::chrono::microseconds m_latestMedian { 0 };
    std::chrono::microseconds m_baselineP90 { 0 };
    uint64_t m_completedWindows = 0;
};

}

#pragma once

#include <cstdint>

namespace snipeweir {

/// Detects an endpoint that fails more often than it succeeds. A failure increments a counter and a success decrements
/// it, so that an endpoint that fails only part of its calls is also detected. Not safe for concurrent use.
class OutlierDetector {
public:
    /// @param threshold Surplus of failures over successes from which the endpoint is an outlier, in calls.
    /// @return Whether the endpoint is an outlier now.
    bool recordFailure(uint32_t threshold) { return ++m_surplus >= threshold; }

    void recordSuccess() { m_surplus -= m_surplus > 0 ? 1 : 0; }
    void reset() { m_surplus = 0; }

private:
    uint32_t m_surplus = 0;
};

}

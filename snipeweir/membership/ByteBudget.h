#pragma once

#include "snipeweir/core/Clock.h"

#include <algorithm>

namespace snipeweir {

/// Token bucket over bytes. Not safe for concurrent use.
class ByteBudget {
public:
    /// @param bytesPerSecond Long-term rate.
    /// @param burstBytes Capacity of the bucket, which starts full.
    ByteBudget(size_t bytesPerSecond, size_t burstBytes, SteadyTime now)
        : m_rate(static_cast<double>(bytesPerSecond))
        , m_burst(static_cast<double>(burstBytes))
        , m_tokens(m_burst)
        , m_filledAt(now)
    {
    }

    /// Takes the bytes from the bucket if it holds enough.
    /// @return Whether they were taken.
    bool take(size_t bytes, SteadyTime now)
    {
        m_tokens = std::min(m_burst, m_tokens + m_rate * std::chrono::duration<double>(now - m_filledAt).count());
        m_filledAt = now;
        if (m_tokens < static_cast<double>(bytes))
            return false;
        m_tokens -= static_cast<double>(bytes);
        return true;
    }

private:
    double m_rate;
    double m_burst;
    double m_tokens;
    SteadyTime m_filledAt;
};

}

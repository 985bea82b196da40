#pragma once

#include "snipeweir/core/Clock.h"

#include <algorithm>

namespace snipeweir {

/// Token bucket. Limits, for example, the bytes that a node sends to serve documents to peers and the rate of a
/// reader's platform reads. For one thread.
class TokenBucket {
public:
    /// @param ratePerSecond Tokens added per second.
    /// @param capacity Maximum number of tokens.
    /// @param initial Initial number of tokens.
    /// @param now Current time.
    TokenBucket(double ratePerSecond, double capacity, double initial, SteadyTime now)
        : m_rate(ratePerSecond)
        , m_capacity(capacity)
        , m_tokens(initial)
        , m_updatedAt(now)
    {
    }

    /// Removes the given number of tokens if the bucket holds that many.
    /// @return Whether the tokens were removed.
    bool take(double tokens, SteadyTime now)
    {
        refill(now);
        if (m_tokens < tokens)
            return false;
        m_tokens -= tokens;
        return true;
    }

    /// Removes tokens, also if the bucket holds fewer; the debt is refilled first.
    void charge(double tokens, SteadyTime now)
    {
        refill(now);
        m_tokens -= tokens;
    }

    /// @return Number of tokens in the bucket; negative after a charge beyond its content.
    double available(SteadyTime now) const
    {
        return std::min(m_capacity, m_tokens + m_rate * std::chrono::duration<double>(now - m_updatedAt).count());
    }

    double rate() const { return m_rate; }

    /// Changes the refill rate. Tokens accumulated at the old rate are kept.
    /// @param ratePerSecond Tokens added per second from now on.
    /// @param now Current time.
    void setRate(double ratePerSecond, SteadyTime now)
    {
        refill(now);
        m_rate = ratePerSecond;
    }

    /// Changes the maximum number of tokens and drops those beyond it.
    void setCapacity(double capacity, SteadyTime now)
    {
        m_capacity = capacity;
        refill(now);
    }

private:
    void refill(SteadyTime now)
    {
        m_tokens = available(now);
        m_updatedAt = now;
    }

    double m_rate;
    double m_capacity;
    double m_tokens;
    SteadyTime m_updatedAt;
};

}

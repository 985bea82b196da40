#pragma once

#include <cstdint>

namespace snipeweir {

/// Token bucket that limits retries or hedges to a percentage of first attempts. Counts in hundredths of a token, which
/// keeps the arithmetic exact. A new bucket starts with a small advance, which the first tokens earned repay, so that
/// retries never exceed max(advance, percent of first attempts). Not safe for concurrent use.
class RetryBudget {
public:
    /// Limits in whole tokens. The defaults are for a budget that a single node uses.
    struct Limits {
        /// Lets the first calls of a new node retry when an endpoint is full; adds negligible load to an
        /// overloaded service.
        uint32_t advance = 3;
        /// Limits the burst of retries after a long period without failures.
        uint32_t maxBalance = 10;
    };

    /// @param percent Retries per hundred first attempts.
    explicit RetryBudget(uint32_t percent)
        : RetryBudget(percent, Limits())
    {
    }

    /// @param limits Advance and maximum balance.
    RetryBudget(uint32_t percent, Limits limits);

    void setPercent(uint32_t percent) { m_percent = percent; }

    /// Adds the tokens earned by one first attempt.
    void onFirstAttempt();

    /// @return Whether a retry is allowed; its token is then consumed.
    bool tryConsume();

    /// @return Number of retries allowed now.
    uint32_t available() const;

private:
    int64_t m_percent;
    int64_t m_maxBalance;
    int64_t m_balance;
    int64_t m_debt;
};

}

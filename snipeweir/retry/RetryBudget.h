#pragma once

#include <cstdint>

namespace snipeweir {

/// Token bucket that bounds second tries to a share of first tries. Counts in hundredths of a token, so that it is
/// exact. A new bucket may spend a small advance before it has earned anything; the first earnings repay it, so that
/// second tries never exceed max(advance, percent of first tries). Not safe for concurrent use.
class RetryBudget {
public:
    /// Whole tokens. The defaults suit a budget of one node's own.
    struct Limits {
        /// Enough for the first calls of a new node to pass a full endpoint; negligible for a service in trouble.
        uint32_t advance = 3;
        /// Bounds the burst after a long time without trouble.
        uint32_t maxBalance = 10;
    };

    /// @param percent Second tries per hundred first tries.
    explicit RetryBudget(uint32_t percent)
        : RetryBudget(percent, Limits())
    {
    }

    /// @param limits Advance and bound of the balance; smaller where many nodes share one budget.
    RetryBudget(uint32_t percent, Limits limits);

    void setPercent(uint32_t percent) { m_percent = percent; }

    /// Earns for one first try.
    void onFirstTry();

    /// @return Whether a second try may be made; it is then paid for.
    bool take();

    /// @return Second tries that may be made now.
    uint32_t available() const;

private:
    int64_t m_percent;
    int64_t m_maxBalance;
    int64_t m_balance;
    int64_t m_debt;
};

}

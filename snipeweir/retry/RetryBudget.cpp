#include "snipeweir/retry/RetryBudget.h"

#include <algorithm>

namespace snipeweir {

namespace {

    /// Hundredths in one token.
    constexpr int64_t unitsPerToken = 100;

}

RetryBudget::RetryBudget(uint32_t percent, Limits limits)
    : m_percent(percent)
    , m_maxBalance(limits.maxBalance * unitsPerToken)
    , m_balance(limits.advance * unitsPerToken)
    , m_debt(limits.advance * unitsPerToken)
{
}

void RetryBudget::onFirstAttempt()
{
    const int64_t repaid = std::min(m_debt, m_percent);
    m_debt -= repaid;
    m_balance = std::min(m_maxBalance, m_balance + m_percent - repaid);
}

bool RetryBudget::tryConsume()
{
    // Zero percent disables retries, including those from the advance.
    if (m_percent == 0 || m_balance < unitsPerToken)
        return false;
    m_balance -= unitsPerToken;
    return true;
}

uint32_t RetryBudget::available() const
{
    return m_percent == 0 ? 0 : static_cast<uint32_t>(m_balance / unitsPerToken);
}

}

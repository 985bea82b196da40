#include "snipeweir/retry/RetryBudget.h"

#include <algorithm>

namespace snipeweir {

namespace {

    constexpr int64_t token = 100;

}

RetryBudget::RetryBudget(uint32_t percent, Limits limits)
    : m_percent(percent)
    , m_maxBalance(limits.maxBalance * token)
    , m_balance(limits.advance * token)
    , m_debt(limits.advance * token)
{
}

void RetryBudget::onFirstTry()
{
    const int64_t repaid = std::min(m_debt, m_percent);
    m_debt -= repaid;
    m_balance = std::min(m_maxBalance, m_balance + m_percent - repaid);
}

bool RetryBudget::take()
{
    // With zero percent second tries are switched off, the advance included.
    if (m_percent == 0 || m_balance < token)
        return false;
    m_balance -= token;
    return true;
}

uint32_t RetryBudget::available() const { return m_percent == 0 ? 0 : static_cast<uint32_t>(m_balance / token); }

}

#include "snipeweir/retry/SharedRetryBudget.h"

#include <algorithm>
#include <cmath>

namespace snipeweir {

namespace {

    /// Lifetime of a token that a node keeps beyond its share, where the share is less than one token. At a steady load
    /// the window then contains retries of at most 14 s of requests, at 70% of the fleet's ratio.
    constexpr std::chrono::seconds creditLifetime { 4 };
    /// Lifetime of a debt. It must outlive the window of the charge; later it would only prevent useful retries.
    constexpr std::chrono::seconds debtLifetime = 2 * SharedRetryBudget::budgetWindow;

    double remaining(std::chrono::nanoseconds elapsed, std::chrono::duration<double> lifetime)
    {
        return std::exp(-(std::chrono::duration<double>(elapsed) / lifetime));
    }

}

SharedRetryBudget::SharedRetryBudget(const Clock& clock, Limits limits)
    : m_clock(clock)
    , m_limits(limits)
    , m_balance(limits.share)
    , m_advance(limits.share)
    , m_updatedAt(clock.now())
{
}

void SharedRetryBudget::update()
{
    const SteadyTime now = m_clock.now();
    m_recentCredit *= remaining(now - m_updatedAt, creditLifetime);
    m_windowCredit *= remaining(now - m_updatedAt, budgetWindow);
    if (m_balance < 0)
        m_balance *= remaining(now - m_updatedAt, debtLifetime);
    m_balance = std::min(m_balance, capacity());
    m_updatedAt = now;
}

double SharedRetryBudget::capacity() const { return std::max(m_limits.share, std::min(1.0, m_recentCredit)); }

void SharedRetryBudget::onRequest(double retryProbability)
{
    update();
    const double earned = m_limits.perRequest * (1 - retryProbability);
    const double repaid = std::min(m_advance, earned);
    m_advance -= repaid;
    m_recentCredit += earned;
    m_windowCredit += earned;
    m_balance = std::min(m_balance + earned - repaid, capacity()) - retryProbability;
}

void SharedRetryBudget::charge(double arrivals)
{
    update();
    m_balance -= arrivals;
}

bool SharedRetryBudget::tryConsume()
{
    update();
    // A ratio of zero disables retries, including those from the share.
    if (m_limits.perRequest <= 0 || m_balance < 1)
        return false;
    m_balance -= 1;
    return true;
}

bool SharedRetryBudget::hasRoomForCalls()
{
    update();
    return m_limits.perRequest > 0 && m_balance > -m_limits.reserve * (m_limits.share + m_windowCredit);
}

double SharedRetryBudget::available()
{
    update();
    return m_balance;
}

}

#include "snipeweir/retry/HedgePolicy.h"

namespace snipeweir {

HedgePolicy::HedgePolicy(const HedgeSettings& settings)
    : m_settings(settings)
    , m_budget(settings.hedgeBudgetPercent)
{
}

void HedgePolicy::setSettings(const HedgeSettings& settings)
{
    m_settings = settings;
    m_budget.setPercent(settings.hedgeBudgetPercent);
}

HedgeDecision HedgePolicy::decide(const HedgeRequest& request)
{
    if (request.kind != RequestKind::Idempotent)
        return { false, RetryReason::DeniedByKind, {} };
    if (request.attempts >= m_settings.maxAttempts)
        return { false, RetryReason::DeniedByAttempts, {} };
    const auto untilDue = m_settings.hedgeDelay - request.waited;
    if (request.remaining <= std::max(untilDue, std::chrono::milliseconds(0)))
        return { false, RetryReason::DeniedByDeadline, {} };
    if (untilDue.count() > 0)
        return { false, RetryReason::Hedge, untilDue };
    if (!m_budget.tryConsume())
        return { false, RetryReason::DeniedByBudget, {} };
    return { true, RetryReason::Hedge, {} };
}

}

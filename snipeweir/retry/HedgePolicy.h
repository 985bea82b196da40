#pragma once

#include "snipeweir/core/CallTypes.h"
#include "snipeweir/retry/RetryBudget.h"

#include <chrono>
#include <cstdint>

namespace snipeweir {

/// Settings for hedging calls to one service; see section 7 of the design page for the defaults.
struct HedgeSettings {
    uint32_t hedgeBudgetPercent = 2;
    std::chrono::milliseconds hedgeDelay { 50 };
    /// Maximum number of attempts of one call, including hedges and retries.
    uint32_t maxAttempts = 3;
};

struct HedgeRequest {
    RequestKind kind = RequestKind::Idempotent;
    /// Time since the outstanding attempt was sent.
    std::chrono::milliseconds waited { 0 };
    uint32_t attempts = 1;
    std::chrono::milliseconds remaining { 0 };
};

struct HedgeDecision {
    bool isGranted = false;
    RetryReason reason = RetryReason::DeniedByKind;
    /// Time to wait before the next call of decide(); zero if the decision is final.
    std::chrono::milliseconds decideAgainAfter { 0 };
};

/// Decides whether an idempotent call whose response is slow is sent a second time. Has its own budget, so that hedges
/// to a slow service do not use up the retry budget. Not safe for concurrent use.
class HedgePolicy {
public:
    explicit HedgePolicy(const HedgeSettings&);

    void setSettings(const HedgeSettings&);

    /// Must be called once for each call, before its first attempt.
    void onFirstAttempt() { m_budget.onFirstAttempt(); }

    /// Consumes a token of the budget if it grants the hedge.
    HedgeDecision decide(const HedgeRequest&);

    std::chrono::milliseconds delay() const { return m_settings.hedgeDelay; }

private:
    HedgeSettings m_settings;
    RetryBudget m_budget;
};

}

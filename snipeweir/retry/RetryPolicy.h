#pragma once

#include "snipeweir/core/CallTypes.h"
#include "snipeweir/retry/RetryBudget.h"

#include <chrono>
#include <cstdint>

namespace snipeweir {

/// Settings for retrying calls to one service; see section 7 of the design page for the defaults.
struct RetrySettings {
    uint32_t retryBudgetPercent = 10;
    uint32_t maxAttempts = 3;
    /// Minimum time left for a retry; with less, it would reach its deadline before it completes.
    std::chrono::milliseconds minRemaining { 2 };
};

/// Hop of the call's path that failed, as seen from the deciding node.
enum class RetryLayer {
    /// The next node refused, or the connection to it was lost.
    NextNode,
    /// The backend server behind the next node responded, with any status; the layers below it have already retried.
    BackendServer,
};

struct RetryRequest {
    RequestKind kind = RequestKind::Idempotent;
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    /// Attempts made so far, the failed one included.
    uint32_t attempts = 1;
    std::chrono::milliseconds remaining { 0 };
    RetryLayer layer = RetryLayer::NextNode;
};

struct RetryDecision {
    enum class Action {
        Stop,
        /// Send to another endpoint. A keyed call needs the successor key.
        OtherEndpoint,
        /// Send the key to its executor again on a new connection, where the call attaches to the run in progress.
        SameEndpoint,
    };
    Action action = Action::Stop;
    RetryReason reason = RetryReason::DeniedByKind;

    bool isRetry() const { return action != Action::Stop; }
};

/// Decides whether a failed attempt is retried. Retries only calls that provably did not run or that may safely run
/// twice, only at the layer directly above the failed hop, and only within the budget, so that a chain of services
/// does not multiply retries. Not safe for concurrent use.
class RetryPolicy {
public:
    explicit RetryPolicy(const RetrySettings&);

    void setSettings(const RetrySettings&);

    /// Must be called once for each call, before its first attempt.
    void onFirstAttempt() { m_budget.onFirstAttempt(); }

    /// Consumes a token of the budget if it grants the retry.
    RetryDecision decide(const RetryRequest&);

    const RetryBudget& budget() const { return m_budget; }

private:
    RetrySettings m_settings;
    RetryBudget m_budget;
};

}

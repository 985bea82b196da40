#pragma once

#include "snipeweir/core/Clock.h"

namespace snipeweir {

/// One node's part of the fleet's budget of retries to one service. The nodes don't coordinate: each limits what it
/// causes, so that the sum over all nodes stays within the budget in every window of budgetWindow. Counts fractions of
/// an arrival, since calls made by retried runs are known only by their probability. Not safe for concurrent use.
class SharedRetryBudget {
public:
    /// Window in which the fleet's budget is counted.
    static constexpr std::chrono::seconds budgetWindow { 10 };

    struct Limits {
        /// Retries earned by one request.
        double perRequest = 0.14;
        /// Retries beyond that, as this node's share of what the fleet may use at any time.
        double share = 1;
        /// Part of the fleet's budget that is reserved for arrivals that cannot be prevented, per token of the above.
        double reserve = 0.43;
    };

    SharedRetryBudget(const Clock&, Limits);

    void setLimits(Limits limits) { m_limits = limits; }

    /// Counts the first arrival of a request. It earns tokens as far as it is a first attempt and is charged as far as
    /// it is a call of a retried run.
    /// @param retryProbability Probability that a retried run made the request, 0 to 1.
    void onRequest(double retryProbability);

    /// Charges arrivals that have happened or cannot be prevented, also beyond the balance.
    void charge(double arrivals);

    /// @return Whether a retry is allowed; its token is then consumed.
    bool tryConsume();

    /// @return Whether further calls of retried runs may be caused: what was charged beyond the balance is less than
    /// this node's part of the reserve.
    bool hasRoomForCalls();

    /// @return Number of retries allowed now; negative after a charge beyond the balance.
    double available();

private:
    void update();
    /// @return Maximum balance.
    double capacity() const;

    const Clock& m_clock;
    Limits m_limits;
    double m_balance;
    /// Part of the initial balance that requests have not yet earned.
    double m_advance;
    /// Tokens earned within creditLifetime and within budgetWindow.
    double m_recentCredit = 0;
    double m_windowCredit = 0;
    SteadyTime m_updatedAt;
};

}

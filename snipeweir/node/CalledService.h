#pragma once

#include "snipeweir/node/RoutingView.h"
#include "snipeweir/retry/HedgePolicy.h"
#include "snipeweir/retry/RetryPolicy.h"
#include "snipeweir/routing/Router.h"

#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace snipeweir {

/// Endpoint choice, retry and hedging decisions for one service that this node calls. Safe for concurrent use; one
/// mutex guards all state.
class CalledService {
public:
    /// @return The service, or ErrorCode::InvalidDocument if the endpoint chart is invalid.
    static Result<std::unique_ptr<CalledService>> create(
        ServiceName, DataCentreName ownDataCentre, VmId ownVm, const StateChart&, const Clock&, uint64_t seed);

    /// Updates the endpoints and the policy from a view. Views that are unusable or not newer than the last are
    /// ignored.
    void update(const RoutingView&);

    std::optional<EndpointChoice> choose(const ChooseRequest&);
    void onFirstAttempt();
    void onSent(const VmId&);
    void onFinished(const VmId&, const CallResult&, const std::optional<LoadReport>&);
    void onLoadReport(const VmId&, const LoadReport&);
    RetryDecision decideRetry(const RetryRequest&);
    HedgeDecision decideHedge(const HedgeRequest&);
    std::vector<VmId> probesDue();
    std::vector<EndpointSnapshot> snapshot() const;
    Policy policy() const;

private:
    CalledService(ServiceName, DataCentreName ownDataCentre, VmId ownVm, std::unique_ptr<Router>);

    const ServiceName m_name;
    const DataCentreName m_ownDataCentre;
    const VmId m_ownVm;

    // Guarded by m_mutex.
    mutable std::mutex m_mutex;
    uint64_t m_viewVersion = 0;
    Policy m_policy;
    std::unique_ptr<Router> m_router;
    RetryPolicy m_retryPolicy;
    HedgePolicy m_hedgePolicy;
};

}

#include "snipeweir/node/CalledService.h"

#include "snipeweir/node/PolicySettings.h"

#include <algorithm>

namespace snipeweir {

Result<std::unique_ptr<CalledService>> CalledService::create(ServiceName name, DataCentreName ownDataCentre, VmId ownVm,
    const StateChart& chart, const Clock& clock, uint64_t seed)
{
    BOOST_LEAF_AUTO(router, Router::create(routerSettings(Policy {}, ownDataCentre, std::nullopt), chart, clock, seed));
    return std::unique_ptr<CalledService>(
        new CalledService(std::move(name), std::move(ownDataCentre), std::move(ownVm), std::move(router)));
}

CalledService::CalledService(ServiceName name, DataCentreName ownDataCentre, VmId ownVm, std::unique_ptr<Router> router)
    : m_name(std::move(name))
    , m_ownDataCentre(std::move(ownDataCentre))
    , m_ownVm(std::move(ownVm))
    , m_router(std::move(router))
    , m_retryPolicy(retrySettings(Policy {}))
    , m_hedgePolicy(hedgeSettings(Policy {}))
{
}

void CalledService::update(const RoutingView& view)
{
    const std::lock_guard lock(m_mutex);
    if (view.version <= m_viewVersion || !view.isUsable())
        return;
    m_viewVersion = view.version;

    // Apply the policy of the called service for this data centre.
    m_policy = view.configuration->policyFor(m_name, m_ownDataCentre, VmId());
    size_t callerIndex = 0;
    for (const VmRecord& record : view.vmList->vms())
        callerIndex += record.vm < m_ownVm ? 1 : 0;
    m_router->setSettings(routerSettings(m_policy, m_ownDataCentre, callerIndex));
    m_retryPolicy.setSettings(retrySettings(m_policy));
    m_hedgePolicy.setSettings(hedgeSettings(m_policy));

    // The VM list defines the candidates. Membership and the operators' decisions in the configuration determine which
    // of them may receive calls.
    std::vector<EndpointCandidate> endpoints;
    for (const VmRecord* record : view.vmList->vmsOf(m_name)) {
        const MemberView* member = view.member(record->vm);
        EndpointCandidate endpoint { record->vm, record->dataCentre };
        endpoint.isInService = view.configuration->isDataCentreInService(record->dataCentre)
            && view.configuration->isVmInService(record->vm);
        endpoint.isLeaving = record->isLeaving || (member && member->state == MemberState::Leaving);
        endpoint.isAlive = !member || member->state != MemberState::Dead;
        endpoints.push_back(std::move(endpoint));
    }
    m_router->updateEndpoints(endpoints);
}

std::optional<EndpointChoice> CalledService::choose(const ChooseRequest& request)
{
    const std::lock_guard lock(m_mutex);
    return m_router->choose(request);
}

void CalledService::onFirstAttempt()
{
    const std::lock_guard lock(m_mutex);
    m_retryPolicy.onFirstAttempt();
    m_hedgePolicy.onFirstAttempt();
}

void CalledService::onSent(const VmId& vm)
{
    const std::lock_guard lock(m_mutex);
    m_router->onSent(vm);
}

void CalledService::onFinished(const VmId& vm, const CallResult& result, const std::optional<LoadReport>& report)
{
    const std::lock_guard lock(m_mutex);
    m_router->onFinished(vm, result);
    if (report)
        m_router->onLoadReport(vm, *report);
}

void CalledService::onLoadReport(const VmId& vm, const LoadReport& report)
{
    const std::lock_guard lock(m_mutex);
    m_router->onLoadReport(vm, report);
}

RetryDecision CalledService::decideRetry(const RetryRequest& request)
{
    const std::lock_guard lock(m_mutex);
    return m_retryPolicy.decide(request);
}

HedgeDecision CalledService::decideHedge(const HedgeRequest& request)
{
    const std::lock_guard lock(m_mutex);
    return m_hedgePolicy.decide(request);
}

std::vector<VmId> CalledService::probesDue()
{
    const std::lock_guard lock(m_mutex);
    return m_router->probesDue();
}

std::vector<EndpointSnapshot> CalledService::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_router->snapshot();
}

Policy CalledService::policy() const
{
    const std::lock_guard lock(m_mutex);
    return m_policy;
}

}

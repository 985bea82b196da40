#include "snipeweir/retry/RetryControl.h"

#include <algorithm>

namespace snipeweir {

namespace {

    /// Weight of a new report in the moving average of the fan-out.
    constexpr double reportWeight = 0.25;
    /// Bounds the fan-out while services seem to call each other in a circle, since requests of callers count as calls.
    constexpr double maxFanout = 64;

    bool isLackOfCapacity(Reason reason)
    {
        switch (reason) {
        case Reason::ServerLimit:
        case Reason::ClassLimit:
        case Reason::ColdLimit:
        case Reason::RateLimit:
        case Reason::QueueFull:
        case Reason::QueueTimeout:
        case Reason::ConnectionLimit:
        case Reason::BackendShed:
        case Reason::RetryLimit:
            return true;
        default:
            return false;
        }
    }

}

void RetryControl::setFleetBudget(const FleetBudget& budget)
{
    const size_t nodeCount = std::max(budget.nodeCount, m_fleetBudget.nodeCount);
    m_fleetBudget = budget;
    m_fleetBudget.nodeCount = nodeCount;
    for (auto& [name, service] : m_services)
        service.budget.setLimits(limits(service.fanout));
}

SharedRetryBudget::Limits RetryControl::limits(double fanout) const
{
    const double part = m_settings.budgetSharePercent / 100.0;
    const auto nodeCount = static_cast<double>(std::max<size_t>(1, m_fleetBudget.nodeCount));
    // A retry causes as many arrivals as the fan-out at a called service. The part of that service's budget in
    // proportion to its requests is larger by as much, the extra is not.
    const double extra = m_fleetBudget.extra / std::max(1.0, fanout);
    return { m_fleetBudget.percent / 100.0 * part, extra / nodeCount * part, (1 - part) / part };
}

RetryControl::CalledService& RetryControl::calledService(const ServiceName& name)
{
    const auto found = m_services.find(name);
    if (found != m_services.end())
        return found->second;
    return m_services.emplace(name, CalledService { SharedRetryBudget(m_clock, limits(1)) }).first->second;
}

double RetryControl::onRequest(const ServiceName& name)
{
    const double retryProbability = m_runs.onCall(name);
    calledService(name).budget.onRequest(retryProbability);
    m_chargedCalls += retryProbability;
    return retryProbability;
}

bool RetryControl::tryRetry(const ServiceName& name) { return calledService(name).budget.tryConsume(); }

void RetryControl::onResponse(const ServiceName& name, const RetryReport& report)
{
    CalledService& service = calledService(name);
    service.budget.charge(report.resends);
    service.fanout += (std::clamp(report.fanout, 1.0, maxFanout) - service.fanout) * reportWeight;
    service.budget.setLimits(limits(service.fanout));
}

void RetryControl::onAnswered(const ServiceName& service, Reason rejection, const RetryReport& report)
{
    // A failure that follows from a rejection further down the chain is one itself.
    if (service != m_ownService && (isLackOfCapacity(rejection) || report.isFutile))
        m_rejectedAt = m_clock.now();
}

std::map<ServiceName, double> RetryControl::callsPerRun()
{
    auto calls = m_runs.callsPerRun();
    calls.erase(m_ownService);
    return calls;
}

bool RetryControl::mayRunRetry()
{
    const auto calls = callsPerRun();
    return std::all_of(calls.begin(), calls.end(),
        [this](const auto& entry) { return calledService(entry.first).budget.hasRoomForCalls(); });
}

RetryReport RetryControl::report(unsigned status, SteadyTime startedAt, uint32_t resends)
{
    RetryReport report;
    report.isFutile = status >= 500 && m_rejectedAt >= startedAt;
    report.resends = resends;
    for (const auto& [name, calls] : callsPerRun())
        report.fanout = std::max(report.fanout, calls * calledService(name).fanout);
    return report;
}

}

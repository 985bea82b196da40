#include "snipeweir/routing/EndpointTable.h"

#include <algorithm>

namespace snipeweir {

namespace {

    /// Maximum time for which the largest limit among the candidates may be outdated.
    constexpr std::chrono::milliseconds refreshInterval { 100 };

    bool isInRotation(const Endpoint& endpoint)
    {
        return endpoint.candidate.isInService && !endpoint.candidate.isLeaving;
    }

    bool acceptsCalls(EndpointPhase phase)
    {
        return phase == EndpointPhase::Starting || phase == EndpointPhase::Cold || phase == EndpointPhase::Serving;
    }

}

EndpointTable::EndpointTable(RouterSettings settings, EndpointStateMachine stateMachine)
    : m_settings(std::move(settings))
    , m_stateMachine(stateMachine)
{
}

void EndpointTable::setSettings(const RouterSettings& settings)
{
    m_settings = settings;
    m_isDirty = true;
}

void EndpointTable::update(const std::vector<EndpointCandidate>& view, SteadyTime now)
{
    std::vector<EndpointCandidate> ordered = view;
    std::sort(ordered.begin(), ordered.end(),
        [](const EndpointCandidate& left, const EndpointCandidate& right) { return left.vm < right.vm; });
    ordered.erase(
        std::unique(ordered.begin(), ordered.end(),
            [](const EndpointCandidate& left, const EndpointCandidate& right) { return left.vm == right.vm; }),
        ordered.end());

    std::vector<Endpoint> endpoints;
    endpoints.reserve(ordered.size());
    for (const EndpointCandidate& candidate : ordered) {
        if (Endpoint* known = find(candidate.vm)) {
            endpoints.push_back(std::move(*known));
        } else {
            endpoints.emplace_back(candidate, m_stateMachine.initial());
            // In the first view every endpoint is new to this caller, which does not mean that it has just started.
            if (m_hasView)
                endpoints.back().startRamp(now);
        }
        applyView(endpoints.back(), candidate, now);
    }

    m_endpoints = std::move(endpoints);
    m_indices.clear();
    for (size_t i = 0; i < m_endpoints.size(); ++i)
        m_indices.emplace(m_endpoints[i].candidate.vm, i);
    m_hasView = true;
    m_isDirty = true;
    refresh(now);
}

void EndpointTable::applyView(Endpoint& endpoint, const EndpointCandidate& candidate, SteadyTime now)
{
    const bool wasUsable = isInRotation(endpoint) && acceptsCalls(endpoint.phase);
    endpoint.candidate = candidate;
    if (!candidate.isAlive)
        applyEvent(endpoint, EndpointEvent::Lost);
    else if (endpoint.phase == EndpointPhase::Gone)
        applyEvent(endpoint, EndpointEvent::Joined);
    if (!isInRotation(endpoint))
        applyEvent(endpoint, EndpointEvent::Drain);
    else if (candidate.isAlive)
        applyEvent(endpoint, EndpointEvent::Resume);
    if (!wasUsable && isInRotation(endpoint) && acceptsCalls(endpoint.phase)) {
        endpoint.startRamp(now);
        endpoint.outlier.reset();
    }
}

void EndpointTable::onSent(const VmId& vm, SteadyTime now)
{
    if (Endpoint* endpoint = find(vm))
        endpoint->onSent(now);
}

void EndpointTable::onFinished(const VmId& vm, const CallResult& result, SteadyTime now)
{
    Endpoint* endpoint = find(vm);
    if (!endpoint)
        return;
    endpoint->onFinished(now, result, m_averages);
    if (result.kind == CallResult::Kind::Succeeded)
        endpoint->outlier.recordSuccess();
    const bool isFailure = result.kind == CallResult::Kind::Failed || result.kind == CallResult::Kind::Lost;
    if (isFailure && endpoint->outlier.recordFailure(m_settings.outlierThreshold))
        ejectIfAllowed(*endpoint, now);
}

void EndpointTable::onLoadReport(const VmId& vm, const LoadReport& report, SteadyTime now)
{
    Endpoint* endpoint = find(vm);
    if (!endpoint)
        return;
    const Endpoint::ReportStatus status = endpoint->onReport(now, report, m_averages);
    if (status == Endpoint::ReportStatus::Outdated)
        return;

    // A new incarnation means that the node process restarted, so the endpoint leaves, rejoins and starts slowly.
    const EndpointPhase before = endpoint->phase;
    if (status == Endpoint::ReportStatus::NewIncarnation && acceptsCalls(before)) {
        applyEvent(*endpoint, EndpointEvent::Lost);
        applyEvent(*endpoint, EndpointEvent::Joined);
        endpoint->outlier.reset();
        endpoint->startRamp(now);
    }
    switch (report.phase) {
    case EndpointPhase::Cold:
        applyEvent(*endpoint, EndpointEvent::ReportCold);
        break;
    case EndpointPhase::Serving:
        applyEvent(*endpoint, EndpointEvent::ReportServing);
        break;
    case EndpointPhase::Draining:
    case EndpointPhase::Gone:
        applyEvent(*endpoint, EndpointEvent::Drain);
        break;
    case EndpointPhase::Starting:
    case EndpointPhase::Ejected:
        break;
    }

    // A drain that only the endpoint itself reported ends when it reports that it accepts calls again.
    const bool isResumed = endpoint->phase == EndpointPhase::Draining && isInRotation(*endpoint)
        && acceptsCalls(report.phase) && endpoint->candidate.isAlive;
    if (isResumed && applyEvent(*endpoint, EndpointEvent::Resume))
        endpoint->startRamp(now);
    m_isDirty = m_isDirty || endpoint->phase != before;
}

void EndpointTable::ejectIfAllowed(Endpoint& endpoint, SteadyTime now)
{
    size_t ejected = 0;
    size_t inService = 0;
    for (const Endpoint& other : m_endpoints) {
        if (!isInRotation(other))
            continue;
        const bool isEjected = other.phase == EndpointPhase::Ejected;
        ejected += isEjected ? 1 : 0;
        inService += isEjected || acceptsCalls(other.phase) ? 1 : 0;
    }
    if ((ejected + 1) * 100 > inService * m_settings.maxEjectedPercent)
        return;
    if (applyEvent(endpoint, EndpointEvent::Failures))
        endpoint.ejectedUntil = now + m_settings.ejectionDuration;
}

void EndpointTable::refresh(SteadyTime now)
{
    if (!m_isDirty && now < m_refreshAt)
        return;
    m_isDirty = false;
    m_refreshAt = now + refreshInterval;
    m_candidates.clear();
    m_fallbackCandidates.clear();
    m_maxSlots = 1;
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
        Endpoint& endpoint = m_endpoints[i];
        if (endpoint.phase == EndpointPhase::Ejected && now >= endpoint.ejectedUntil) {
            applyEvent(endpoint, EndpointEvent::EjectionOver);
            endpoint.outlier.reset();
            endpoint.startRamp(now);
        }
        if (endpoint.phase == EndpointPhase::Ejected)
            m_refreshAt = std::min(m_refreshAt, endpoint.ejectedUntil);
        if (!isInRotation(endpoint) || endpoint.phase == EndpointPhase::Draining)
            continue;
        if (acceptsCalls(endpoint.phase))
            m_candidates.push_back(i);
        else
            m_fallbackCandidates.push_back(i);
    }

    // If ejections leave fewer than half of the service, wrong ejections are more likely than so many faulty endpoints.
    const auto isEjected = [this](size_t i) { return m_endpoints[i].phase == EndpointPhase::Ejected; };
    const auto ejected
        = static_cast<size_t>(std::count_if(m_fallbackCandidates.begin(), m_fallbackCandidates.end(), isEjected));
    if (m_candidates.size() < ejected) {
        std::copy_if(
            m_fallbackCandidates.begin(), m_fallbackCandidates.end(), std::back_inserter(m_candidates), isEjected);
        std::erase_if(m_fallbackCandidates, isEjected);
    }
    for (const size_t i : m_candidates)
        m_maxSlots = std::max(m_maxSlots, m_endpoints[i].slots(m_averages));
}

Endpoint* EndpointTable::find(const VmId& vm)
{
    const auto found = m_indices.find(vm);
    return found == m_indices.end() ? nullptr : &m_endpoints[found->second];
}

bool EndpointTable::applyEvent(Endpoint& endpoint, EndpointEvent event)
{
    const auto next = m_stateMachine.next(endpoint.phase, event);
    if (!next)
        return false;
    m_isDirty = m_isDirty || *next != endpoint.phase;
    endpoint.phase = *next;
    return true;
}

}

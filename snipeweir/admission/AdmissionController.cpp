#include "snipeweir/admission/AdmissionController.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipeweir {

namespace {

    // Enough for the cancellations of a few seconds at the design load of 63 calls/s per node.
    constexpr size_t maxEarlyCancellations = 256;

    // Lets successful calls raise the limit again between two hints, so that wrong hints cannot keep it low.
    constexpr auto minHintInterval = std::chrono::seconds(5);

    // A queue that has not been empty for the queue timeout indicates an overload and no longer absorbs a burst:
    // waiting in it only delays the refusal, which is due within 5 ms. The overload state is held for some time,
    // because the queue may become empty occasionally during an overload.
    constexpr auto overloadQueueTimeout = std::chrono::milliseconds(4);
    constexpr auto overloadHoldTime = std::chrono::milliseconds(500);

    bool isValid(const AdmissionSettings& settings)
    {
        return settings.slots >= 1 && settings.slots <= 10000 && settings.coldInitialLimit >= 1
            && settings.queueLength <= 1000 && settings.queueTimeout.count() >= 0
            && settings.reservedInternalSlots <= 1000;
    }

    Reason reasonOf(ServingState state)
    {
        switch (state) {
        case ServingState::Serving:
            return Reason::None;
        case ServingState::Draining:
            return Reason::Draining;
        case ServingState::VmOut:
            return Reason::VmOut;
        case ServingState::DataCentreOut:
            return Reason::DataCentreOut;
        case ServingState::StaleView:
            return Reason::StaleView;
        }
        return Reason::StaleView;
    }

}

Result<std::unique_ptr<AdmissionController>> AdmissionController::create(AdmissionSettings settings, const Clock& clock)
{
    if (!isValid(settings))
        return fail(ErrorCode::InvalidArgument, "Admission settings are out of range.");
    return std::unique_ptr<AdmissionController>(new AdmissionController(settings, clock));
}

AdmissionController::AdmissionController(AdmissionSettings settings, const Clock& clock)
    : m_settings(settings)
    , m_clock(clock)
    , m_adaptiveLimit(settings.slots)
    , m_coldDetector(settings.coldInitialLimit)
    , m_queueLastEmpty(clock.now())
{
}

void AdmissionController::setSettings(const AdmissionSettings& settings)
{
    if (!isValid(settings))
        return;
    m_settings = settings;
    m_adaptiveLimit.setHardLimit(settings.slots);
    m_coldDetector.setInitialLimit(settings.coldInitialLimit);
    // Refuse the calls that exceed a shortened queue, newest public ones first.
    while (queuedCount() > m_settings.queueLength) {
        auto& queue = m_publicQueue.empty() ? m_internalQueue : m_publicQueue;
        refuseQueued(queue.back().request, Reason::QueueFull);
        queue.pop_back();
    }
    expireQueue();
}

AdmissionDecision AdmissionController::offer(const AdmissionRequest& request)
{
    expireQueue();
    if (const Reason reason = ineligibilityReason(request); reason != Reason::None)
        return { AdmissionDecision::Kind::Refused, reason };
    if (m_earlyCancellations.contains(request.id))
        return { AdmissionDecision::Kind::Refused, Reason::CancelledBeforeStart };
    if (isKnown(request.id))
        return { AdmissionDecision::Kind::Refused, Reason::BadRequest };
    if (hasSlot(request.callClass) && queueOf(request.callClass).empty()) {
        start(request, false);
        return { AdmissionDecision::Kind::Admitted, Reason::None };
    }
    return enqueue(request);
}

AdmissionDecision AdmissionController::enqueue(const AdmissionRequest& request)
{
    const bool isInternal = request.callClass == CallClass::Internal;
    const AdmissionDecision refusal { AdmissionDecision::Kind::Refused, blockedReason(request.callClass) };

    // An internal call within the reserved slots can be blocked only by public calls, after the limit was lowered. It
    // is refused at once, so that it can run at another server and never waits for public traffic.
    if (isInternal && m_runningInternal < m_settings.reservedInternalSlots && m_internalQueue.empty())
        return refusal;

    const size_t callsAhead = isInternal ? m_internalQueue.size() : queuedCount();
    if (wouldWaitTooLong(request, callsAhead))
        return refusal;
    if (queuedCount() >= m_settings.queueLength) {
        // Public calls must not fill the queue for internal ones, so the newest public call is evicted.
        if (!isInternal || m_publicQueue.empty())
            return refusal;
        refuseQueued(m_publicQueue.back().request, Reason::QueueFull);
        m_publicQueue.pop_back();
    }
    queueOf(request.callClass).push_back({ request, m_clock.now() });
    return { AdmissionDecision::Kind::Queued, Reason::None };
}

std::optional<AdmissionDecision> AdmissionController::poll(const CallId& id)
{
    expireQueue();
    if (const auto refused = m_unreportedRefusals.find(id); refused != m_unreportedRefusals.end()) {
        const Reason reason = refused->second;
        m_unreportedRefusals.erase(refused);
        return AdmissionDecision { AdmissionDecision::Kind::Refused, reason };
    }
    const auto running = m_running.find(id);
    if (running == m_running.end()) {
        if (isKnown(id))
            return AdmissionDecision { AdmissionDecision::Kind::Queued, Reason::None };
        return std::nullopt;
    }
    if (!running->second.isUnclaimed)
        return std::nullopt;

    // The slot was assigned before the waiting thread ran. The serving state and the deadline may have changed since.
    if (const Reason reason = ineligibilityReason(running->second.request); reason != Reason::None) {
        release(running);
        startQueued();
        return AdmissionDecision { AdmissionDecision::Kind::Refused, reason };
    }
    running->second.isUnclaimed = false;
    running->second.startedAt = m_clock.now();
    return AdmissionDecision { AdmissionDecision::Kind::Admitted, Reason::None };
}

void AdmissionController::cancel(const CallId& id)
{
    for (auto* queue : { &m_internalQueue, &m_publicQueue }) {
        const auto position
            = std::find_if(queue->begin(), queue->end(), [&](const QueuedCall& call) { return call.request.id == id; });
        if (position != queue->end()) {
            refuseQueued(position->request, Reason::CancelledBeforeStart);
            queue->erase(position);
            return;
        }
    }
    if (const auto running = m_running.find(id); running != m_running.end()) {
        if (!running->second.isUnclaimed)
            return;
        refuseQueued(running->second.request, Reason::CancelledBeforeStart);
        release(running);
        startQueued();
        return;
    }
    if (m_unreportedRefusals.contains(id) || !m_earlyCancellations.insert(id).second)
        return;
    m_earlyCancellationOrder.push_back(id);
    if (m_earlyCancellationOrder.size() > maxEarlyCancellations) {
        m_earlyCancellations.erase(m_earlyCancellationOrder.front());
        m_earlyCancellationOrder.pop_front();
    }
}

void AdmissionController::onFinished(const CallId& id, BackendResult result)
{
    const auto position = m_running.find(id);
    if (position == m_running.end() || position->second.isUnclaimed)
        return;
    const SteadyTime now = m_clock.now();
    const RunningCall call = position->second;
    const auto running = static_cast<uint32_t>(m_running.size());
    const bool wasLimitReached = !hasSlot(CallClass::Public);
    m_coldDetector.onResult(
        { result, now <= call.request.deadline, wasLimitReached, call.startedAt }, m_history, m_settings.slots, now);
    if (result.kind == BackendResult::Kind::Succeeded)
        m_history.add(result.latency, now);
    m_adaptiveLimit.onResult(result, running, m_history, call.startedAt, now);
    release(position);
    expireQueue();
}

void AdmissionController::expireQueue()
{
    const SteadyTime now = m_clock.now();
    if (queuedCount() == 0)
        m_queueLastEmpty = now;
    auto timeout = m_settings.queueTimeout;
    if (now - m_queueLastEmpty > timeout)
        m_overloadedUntil = now + overloadHoldTime;
    if (now < m_overloadedUntil)
        timeout = std::min(timeout, overloadQueueTimeout);
    for (auto* queue : { &m_internalQueue, &m_publicQueue }) {
        std::erase_if(*queue, [&](const QueuedCall& call) {
            Reason reason = ineligibilityReason(call.request);
            if (reason == Reason::None && now - call.queuedAt >= timeout)
                reason = Reason::QueueTimeout;
            if (reason == Reason::None)
                return false;
            refuseQueued(call.request, reason);
            return true;
        });
    }
    startQueued();
}

std::vector<CallId> AdmissionController::takeDecided() { return std::exchange(m_decided, {}); }

void AdmissionController::setServing(ServingState state)
{
    m_state = state;
    expireQueue();
}

void AdmissionController::onBackendHint(BackendHint hint)
{
    const SteadyTime now = m_clock.now();
    if (hint == BackendHint::Healthy || (m_lastHint && now - *m_lastHint < minHintInterval))
        return;
    m_lastHint = now;
    if (hint == BackendHint::JustStarted)
        m_coldDetector.turnCold(now);
    else
        m_adaptiveLimit.reduce(now);
}

LoadReport AdmissionController::report() const
{
    LoadReport report;
    report.inFlight = static_cast<uint32_t>(m_running.size());
    report.queued = static_cast<uint32_t>(queuedCount());
    report.limit = currentLimit();
    report.phase = m_coldDetector.isCold() ? EndpointPhase::Cold : EndpointPhase::Serving;
    if (m_state != ServingState::Serving && m_state != ServingState::StaleView)
        report.phase = EndpointPhase::Draining;
    report.serviceTime = m_history.latestMedian();
    return report;
}

uint32_t AdmissionController::currentLimit() const
{
    return std::min({ m_settings.slots, m_adaptiveLimit.limit(), m_coldDetector.limit(m_settings.slots) });
}

uint32_t AdmissionController::runningCount(CallClass callClass) const
{
    const auto total = static_cast<uint32_t>(m_running.size());
    return callClass == CallClass::Internal ? m_runningInternal : total - m_runningInternal;
}

bool AdmissionController::hasSlot(CallClass callClass) const
{
    const uint32_t limit = currentLimit();
    if (m_running.size() >= limit)
        return false;
    if (callClass == CallClass::Internal)
        return true;
    // At least half of a reduced limit stays available to public calls, because a cold server without calls never warms
    // up.
    const uint32_t reserved = std::min(m_settings.reservedInternalSlots, limit / 2);
    return runningCount(CallClass::Public) < limit - reserved;
}

Reason AdmissionController::blockedReason(CallClass callClass) const
{
    if (queuedCount() >= m_settings.queueLength && m_settings.queueLength > 0)
        return Reason::QueueFull;
    if (m_coldDetector.limit(m_settings.slots) < m_settings.slots)
        return Reason::ColdLimit;
    if (callClass == CallClass::Public && m_running.size() < currentLimit())
        return Reason::ClassLimit;
    return Reason::ServerLimit;
}

Reason AdmissionController::ineligibilityReason(const AdmissionRequest& request) const
{
    if (m_state != ServingState::Serving)
        return reasonOf(m_state);
    return request.deadline <= m_clock.now() ? Reason::DeadlinePassed : Reason::None;
}

bool AdmissionController::wouldWaitTooLong(const AdmissionRequest& request, size_t callsAhead) const
{
    // A call whose wait would end in a timeout is refused now, while there is time to run it at another server. With no
    // calls ahead it always waits, so that a wrong estimate cannot block the server.
    if (callsAhead == 0)
        return false;
    const auto expected = m_history.latestMedian() * static_cast<int64_t>(callsAhead + 1) / currentLimit();
    const auto maxWait = std::min<std::chrono::nanoseconds>(m_settings.queueTimeout, request.deadline - m_clock.now());
    return expected > maxWait;
}

std::deque<AdmissionController::QueuedCall>& AdmissionController::queueOf(CallClass callClass)
{
    return callClass == CallClass::Internal ? m_internalQueue : m_publicQueue;
}

bool AdmissionController::isKnown(const CallId& id) const
{
    const auto matches = [&](const QueuedCall& call) { return call.request.id == id; };
    return m_running.contains(id) || m_unreportedRefusals.contains(id) || std::ranges::any_of(m_internalQueue, matches)
        || std::ranges::any_of(m_publicQueue, matches);
}

void AdmissionController::start(const AdmissionRequest& request, bool isUnclaimed)
{
    assert(m_running.size() < m_settings.slots);
    m_running.emplace(request.id, RunningCall { request, m_clock.now(), isUnclaimed });
    if (request.callClass == CallClass::Internal)
        ++m_runningInternal;
}

void AdmissionController::release(std::unordered_map<CallId, RunningCall>::iterator position)
{
    if (position->second.request.callClass == CallClass::Internal)
        --m_runningInternal;
    m_running.erase(position);
}

void AdmissionController::refuseQueued(const AdmissionRequest& request, Reason reason)
{
    m_unreportedRefusals.emplace(request.id, reason);
    m_decided.push_back(request.id);
}

void AdmissionController::startQueued()
{
    // Internal calls start before public ones; both queues are FIFO.
    for (const CallClass callClass : { CallClass::Internal, CallClass::Public }) {
        auto& queue = queueOf(callClass);
        while (!queue.empty() && hasSlot(callClass)) {
            start(queue.front().request, true);
            m_decided.push_back(queue.front().request.id);
            queue.pop_front();
        }
    }

    // Only public calls can block internal ones within the reserved slots, after the limit was lowered. Refuse those
    // instead of letting them wait.
    while (!m_internalQueue.empty() && m_runningInternal < m_settings.reservedInternalSlots) {
        refuseQueued(m_internalQueue.front().request, blockedReason(CallClass::Internal));
        m_internalQueue.pop_front();
    }
}

}

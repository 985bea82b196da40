#pragma once

#include "snipeweir/admission/AdaptiveLimit.h"
#include "snipeweir/admission/AdmissionTypes.h"
#include "snipeweir/admission/ColdDetector.h"
#include "snipeweir/admission/LatencyHistory.h"
#include "snipeweir/core/LoadReport.h"
#include "snipeweir/core/Result.h"

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace snipeweir {

/// Admission control of a backend server, with a hard concurrency limit, an adaptive limit below it, slow start, slots
/// reserved for internal calls and a short queue. A call holds a slot from admission until onFinished(). Has no threads
/// or locks of its own; the node protects it by one mutex.
class AdmissionController {
public:
    /// @param settings Limits; slots, coldInitialLimit and queueTimeout must be in the ranges of the design page.
    /// @param clock Time source; must outlive the controller.
    /// @return The controller, which treats the server as cold, or ErrorCode::InvalidArgument.
    static Result<std::unique_ptr<AdmissionController>> create(AdmissionSettings settings, const Clock& clock);

    /// Applies new limits; invalid settings are ignored. Running calls keep their slots, and no call starts until fewer
    /// are running than the new limit allows.
    /// @param settings Settings in the ranges that create() checks.
    void setSettings(const AdmissionSettings& settings);

    /// Admits, queues or refuses a call.
    /// @param request A call that is neither queued nor running.
    /// @return Admitted, Queued (see takeDecided) or Refused with the reason.
    AdmissionDecision offer(const AdmissionRequest& request);

    /// Returns the decision on a queued call. A decision other than Queued is returned once; Admitted starts the call.
    /// @return The decision; empty if the call is unknown.
    std::optional<AdmissionDecision> poll(const CallId& id);

    /// Refuses a queued call. An unknown id is remembered for a while, because a cancellation can arrive before its
    /// call. A running call is not affected.
    void cancel(const CallId& id);

    /// Frees the slot of a running call and updates the latency history and the limits from its result.
    void onFinished(const CallId& id, BackendResult result);

    /// Refuses queued calls that are past their deadline or queue timeout and starts those for which a slot is free.
    /// Called by the timer thread.
    void expireQueue();

    /// @return Queued calls that were decided since the previous takeDecided(), in the order of the decisions.
    std::vector<CallId> takeDecided();

    /// @param state Whether new calls are accepted; every state except Serving refuses all queued calls.
    void setServing(ServingState state);

    /// @param hint State that the backend server's health or load endpoint reports.
    void onBackendHint(BackendHint hint);

    /// @return Current load, without uptime and incarnation, which the node fills in.
    LoadReport report() const;

private:
    struct QueuedCall {
        AdmissionRequest request;
        SteadyTime queuedAt;
    };
    struct RunningCall {
        AdmissionRequest request;
        SteadyTime startedAt;
        /// Whether poll() has not yet returned the admission to the waiting thread.
        bool isUnclaimed = false;
    };

    AdmissionController(AdmissionSettings settings, const Clock& clock);

    uint32_t currentLimit() const;
    uint32_t runningCount(CallClass callClass) const;
    bool hasSlot(CallClass callClass) const;
    Reason blockedReason(CallClass callClass) const;
    Reason ineligibilityReason(const AdmissionRequest& request) const;
    bool wouldWaitTooLong(const AdmissionRequest& request, size_t callsAhead) const;
    std::deque<QueuedCall>& queueOf(CallClass callClass);
    size_t queuedCount() const { return m_internalQueue.size() + m_publicQueue.size(); }
    bool isKnown(const CallId& id) const;
    AdmissionDecision enqueue(const AdmissionRequest& request);
    void start(const AdmissionRequest& request, bool isUnclaimed);
    void release(std::unordered_map<CallId, RunningCall>::iterator position);
    void refuseQueued(const AdmissionRequest& request, Reason reason);
    void startQueued();

    AdmissionSettings m_settings;
    const Clock& m_clock;
    ServingState m_state = ServingState::Serving;
    LatencyHistory m_history;
    AdaptiveLimit m_adaptiveLimit;
    ColdDetector m_coldDetector;
    std::unordered_map<CallId, RunningCall> m_running;
    uint32_t m_runningInternal = 0;
    std::deque<QueuedCall> m_internalQueue;
    std::deque<QueuedCall> m_publicQueue;
    SteadyTime m_queueLastEmpty;
    SteadyTime m_overloadedUntil;
    /// Refusals of queued calls that poll() has not returned yet.
    std::unordered_map<CallId, Reason> m_unreportedRefusals;
    std::vector<CallId> m_decided;
    /// Calls whose cancellation arrived before them, in the order of arrival; the oldest are forgotten first.
    std::deque<CallId> m_earlyCancellationOrder;
    std::unordered_set<CallId> m_earlyCancellations;
    std::optional<SteadyTime> m_lastHint;
};

}

#pragma once

#include "snipeweir/core/CallTypes.h"
#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"

#include <chrono>
#include <cstdint>

namespace snipeweir {

/// Settings of AdmissionController, whose create() checks the ranges.
struct AdmissionSettings {
    /// Maximum number of calls that run concurrently at the backend server (slots_count).
    uint32_t slots = 10;
    /// Slots reserved for internal calls; public calls never occupy them (reserved_internal_slots_count).
    uint32_t reservedInternalSlots = 2;
    /// Maximum number of queued calls of both classes together (queue_length_count).
    uint32_t queueLength = 10;
    /// Maximum time in the queue (queue_timeout_ms).
    std::chrono::milliseconds queueTimeout { 50 };
    /// Limit of a cold backend server (cold_initial_limit_count).
    uint32_t coldInitialLimit = 1;
};

/// A call that requests a slot.
struct AdmissionRequest {
    /// Unique among the calls that are queued or running.
    CallId id;
    CallClass callClass = CallClass::Public;
    SteadyTime deadline;
};

/// Admission decision on a call. The reason is None unless the call was refused.
struct AdmissionDecision {
    enum class Kind {
        Admitted,
        Queued,
        Refused,
    };
    Kind kind = Kind::Refused;
    Reason reason = Reason::None;

    bool operator==(const AdmissionDecision&) const = default;
};

/// Whether the node accepts new calls, and if not, why.
enum class ServingState {
    Serving,
    Draining,
    VmOut,
    DataCentreOut,
    StaleView,
};

/// Result of a call to the backend server.
struct BackendResult {
    enum class Kind {
        Succeeded,
        Failed,
        Shed,
        Unreachable,
        Lost,
        /// The caller cancelled the call; no information about the backend server.
        Cancelled,
    };
    Kind kind = Kind::Succeeded;
    /// Time from forwarding the call to the end of the response.
    std::chrono::microseconds latency { 0 };
};

/// State that a health or load endpoint of the backend server reports. A hint may lower the limit for a while but never
/// raises it, because such reports can be wrong.
enum class BackendHint {
    Healthy,
    Overloaded,
    JustStarted,
};

}

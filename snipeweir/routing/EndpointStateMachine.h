#pragma once

#include "snipeweir/core/LoadReport.h"
#include "snipeweir/core/StateChart.h"

#include <array>
#include <optional>

namespace snipeweir {

/// Events of charts/endpoint.json.
enum class EndpointEvent {
    ReportCold,
    ReportServing,
    Drain,
    Resume,
    Failures,
    EjectionOver,
    Lost,
    Joined,
};

/// State machine of an endpoint's phase: the transitions of charts/endpoint.json as a table indexed by phase and event,
/// so that the data path compares no strings. Immutable after creation.
class EndpointStateMachine {
public:
    /// @param chart Chart whose states are exactly the phases of EndpointPhase.
    /// @return The state machine, or ErrorCode::InvalidDocument.
    static Result<EndpointStateMachine> create(const StateChart& chart);

    EndpointPhase initial() const { return m_initial; }

    /// @return The phase after the event; empty if the phase has no transition for it.
    std::optional<EndpointPhase> next(EndpointPhase, EndpointEvent) const;

private:
    static constexpr size_t phaseCount = 6;
    static constexpr size_t eventCount = 8;

    EndpointPhase m_initial = EndpointPhase::Starting;
    std::array<std::array<std::optional<EndpointPhase>, eventCount>, phaseCount> m_next;
};

}

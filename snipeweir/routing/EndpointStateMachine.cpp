#include "snipeweir/routing/EndpointStateMachine.h"

namespace snipeweir {

namespace {

    /// In the order of EndpointEvent.
    constexpr std::array<const char*, 8> eventNames { "report_cold", "report_serving", "drain", "resume", "failures",
        "ejection_over", "lost", "joined" };

}

Result<EndpointStateMachine> EndpointStateMachine::create(const StateChart& chart)
{
    EndpointStateMachine machine;
    const auto initial = phaseFromName(chart.initial());
    if (!initial || chart.states().size() != phaseCount)
        return fail(ErrorCode::InvalidDocument, "Chart " + chart.name() + " does not have the phases of an endpoint.");
    machine.m_initial = *initial;
    for (const std::string& state : chart.states()) {
        const auto phase = phaseFromName(state);
        if (!phase)
            return fail(ErrorCode::InvalidDocument, "Chart " + chart.name() + " has the unknown phase " + state + ".");
        for (size_t event = 0; event < eventCount; ++event) {
            // StateChart has checked that every target is a state, and the loop visits every state.
            if (const auto target = chart.next(state, eventNames.at(event)))
                machine.m_next.at(static_cast<size_t>(*phase)).at(event) = phaseFromName(*target);
        }
    }
    return machine;
}

std::optional<EndpointPhase> EndpointStateMachine::next(EndpointPhase phase, EndpointEvent event) const
{
    return m_next.at(static_cast<size_t>(phase)).at(static_cast<size_t>(event));
}

}

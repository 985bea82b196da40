#pragma once

#include "snipeweir/routing/Endpoint.h"
#include "snipeweir/routing/EndpointStateMachine.h"
#include "snipeweir/routing/RouterSettings.h"
#include "snipeweir/routing/ServiceAverages.h"

#include <unordered_map>
#include <vector>

namespace snipeweir {

/// The known endpoints of one service. Applies the events of charts/endpoint.json to their phases, ejects outliers and
/// decides which endpoints are candidates. Not safe for concurrent use.
class EndpointTable {
public:
    EndpointTable(RouterSettings, EndpointStateMachine);

    void setSettings(const RouterSettings&);
    const RouterSettings& settings() const { return m_settings; }
    const ServiceAverages& averages() const { return m_averages; }

    /// Replaces the set of endpoints; the state of those that remain is kept.
    void update(const std::vector<EndpointCandidate>&, SteadyTime now);

    void onSent(const VmId&, SteadyTime now);
    void onFinished(const VmId&, const CallResult&, SteadyTime now);
    void onLoadReport(const VmId&, const LoadReport&, SteadyTime now);

    /// Ends expired ejections and recomputes the candidates if anything changed or the last refresh is too old.
    void refresh(SteadyTime now);

    /// @return Indices of the endpoints that may be chosen, as of the last refresh().
    const std::vector<size_t>& candidates() const { return m_candidates; }

    /// @return Indices of endpoints in service that are ejected or considered dead. Used only when no candidate is
    /// left, because it is more likely that the view is wrong than that the whole service is down.
    const std::vector<size_t>& fallbackCandidates() const { return m_fallbackCandidates; }

    /// @return Largest number of slots among the candidates.
    double maxSlots() const { return m_maxSlots; }

    std::vector<Endpoint>& endpoints() { return m_endpoints; }
    const std::vector<Endpoint>& endpoints() const { return m_endpoints; }

private:
    Endpoint* find(const VmId&);
    bool applyEvent(Endpoint&, EndpointEvent);
    void applyView(Endpoint&, const EndpointCandidate&, SteadyTime now);
    void ejectIfAllowed(Endpoint&, SteadyTime now);

    RouterSettings m_settings;
    EndpointStateMachine m_stateMachine;
    ServiceAverages m_averages;
    /// Ordered by VM name, so that decisions do not depend on the order of the view.
    std::vector<Endpoint> m_endpoints;
    std::unordered_map<VmId, size_t> m_indices;
    std::vector<size_t> m_candidates;
    std::vector<size_t> m_fallbackCandidates;
    double m_maxSlots = 1;
    bool m_hasView = false;
    bool m_isDirty = true;
    SteadyTime m_refreshAt {};
};

}

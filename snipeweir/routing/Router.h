#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Random.h"
#include "snipeweir/core/Result.h"
#include "snipeweir/core/StateChart.h"
#include "snipeweir/routing/EndpointTable.h"
#include "snipeweir/routing/RouterSettings.h"
#include "snipeweir/routing/RouterTypes.h"

#include <memory>
#include <optional>
#include <vector>

namespace snipeweir {

/// Chooses an endpoint of one service for each call (power of d choices): draws a few candidates at random, weighted by
/// their slots, and takes the one with the lowest estimated cost. The random draw keeps callers with the same view from
/// all picking the same endpoint. Performs no I/O and is deterministic: the same settings, seed, clock and calls give
/// the same choices. Not safe for concurrent use.
class Router {
public:
    /// @param endpointChart The chart of charts/endpoint.json.
    /// @param clock Must outlive the router.
    /// @param seed Seed of all random draws.
    /// @return The router, or ErrorCode::InvalidDocument if the chart's states are not the phases of an endpoint.
    static Result<std::unique_ptr<Router>> create(
        RouterSettings, const StateChart& endpointChart, const Clock& clock, uint64_t seed);

    void setSettings(const RouterSettings&);

    /// Sets the service's endpoints from the fleet view. With a caller index in the settings only a subset is used.
    void updateEndpoints(const std::vector<EndpointCandidate>&);

    /// @return The endpoint to send the call to; empty if none is available. The caller reports the send by onSent().
    std::optional<EndpointChoice> choose(const ChooseRequest&);

    void onSent(const VmId&);

    /// Must be called once for each onSent(), before onLoadReport() with the report of the same response.
    void onFinished(const VmId&, const CallResult&);

    void onLoadReport(const VmId&, const LoadReport&);

    /// Selects the endpoints to probe, and uses up the probe budget for them. Endpoints without a report come first,
    /// then those with the oldest reports. A service without calls is not probed once each endpoint has reported.
    /// @return Endpoints whose nodes are to be asked for a load report now.
    std::vector<VmId> probesDue();

    std::vector<EndpointSnapshot> snapshot() const;

private:
    Router(RouterSettings, EndpointStateMachine, const Clock&, uint64_t seed);

    void applyView(SteadyTime now);
    void draw(const std::vector<size_t>& pool, const ChooseRequest&, SteadyTime now);
    void drawUnweighted(const std::vector<size_t>& pool, const ChooseRequest&);

    const Clock& m_clock;
    Random m_random;
    EndpointTable m_table;
    std::vector<EndpointCandidate> m_view;
    /// Endpoints drawn and skipped in the current decision; members only to reuse their memory.
    std::vector<size_t> m_drawn;
    std::vector<size_t> m_skipped;
    double m_probeTokens = 0;
    SteadyTime m_probeTokensAt;
    SteadyTime m_lastChoiceAt {};
};

}

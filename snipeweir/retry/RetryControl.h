#pragma once

#include "snipeweir/core/CallTypes.h"
#include "snipeweir/retry/RetriedRuns.h"
#include "snipeweir/retry/RetryReport.h"
#include "snipeweir/retry/SharedRetryBudget.h"

namespace snipeweir {

/// Decides on retries at one node, so that no service receives more retries, and calls made by retried runs, than the
/// fleet's retry budget allows. Each node controls two kinds of arrival: the retries that it sends, and the calls of
/// its backend server's retried runs, for which it refuses retries to that server. Performs no I/O; not safe for
/// concurrent use.
class RetryControl {
public:
    struct Settings {
        /// Part of the fleet's budget from which retries are granted, in percent. The rest covers calls of retried runs
        /// beyond it, which cannot be prevented once the run has started.
        uint32_t budgetSharePercent = 70;
    };

    /// The fleet's budget for retries to one service.
    struct FleetBudget {
        /// Retries per hundred requests.
        uint32_t percent = 20;
        /// Retries beyond that percentage in one window.
        uint32_t extra = 60;
        /// Number of nodes that share the budget.
        size_t nodeCount = 1;
    };

    /// @param ownService Service of the backend server beside this node. Requests for it that arrive from this VM are
    /// taken as those of callers, not of the server.
    RetryControl(Settings settings, const Clock& clock, ServiceName ownService)
        : m_settings(settings)
        , m_ownService(std::move(ownService))
        , m_clock(clock)
        , m_runs(clock)
    {
    }

    /// Sets the service of the backend server beside this node; see the constructor.
    void setOwnService(const ServiceName& service) { m_ownService = service; }

    /// Sets the budget. The highest number of nodes so far counts, so that a view that shrinks, e.g. in a partition,
    /// does not raise the shares.
    void setFleetBudget(const FleetBudget&);

    // For the calling node.

    /// Counts a request for a service that arrives from this VM.
    /// @return Probability that a retried run made it, to be sent along with each of its attempts.
    double onRequest(const ServiceName&);

    /// @return Whether the budget allows a retry or hedge; its token is then consumed.
    bool tryRetry(const ServiceName&);

    /// Evaluates the report of a node that sent the request to its backend server.
    void onResponse(const ServiceName&, const RetryReport&);

    /// Records the final result of a request that arrived from this VM.
    /// @param rejection Reason for which the request was not run; Reason::None if it may have run.
    /// @param report Report of the node that gave the final response.
    void onAnswered(const ServiceName&, Reason rejection, const RetryReport& report);

    // For the serving node.

    /// @return Whether a retry may run at the backend server: the budgets of the services that it calls have room for
    /// calls of retried runs.
    bool mayRunRetry();

    /// Call when a request is sent to the backend server.
    /// @param retryProbability Probability that it is a retry or the call of a retried run, 0 to 1.
    /// @return Keep it until the run ends.
    RetriedRuns::Run startRun(double retryProbability) { return m_runs.start(retryProbability); }

    /// @param status Status of the backend server's response; zero if there was none.
    /// @param startedAt Time at which the run started.
    /// @param resends Number of times that the request was sent again on a new connection.
    /// @return Report for the response to the calling node.
    RetryReport report(unsigned status, SteadyTime startedAt, uint32_t resends);

    /// @return Expected number of calls of retried runs that were charged to budgets.
    double chargedCalls() const { return m_chargedCalls; }

private:
    struct CalledService {
        SharedRetryBudget budget;
        /// Moving average of RetryReport::fanout.
        double fanout = 1;
    };

    CalledService& calledService(const ServiceName&);
    /// @param fanout See RetryReport::fanout.
    SharedRetryBudget::Limits limits(double fanout) const;
    /// @return Mean number of calls per run for each service that the backend server calls.
    std::map<ServiceName, double> callsPerRun();

    Settings m_settings;
    ServiceName m_ownService;
    const Clock& m_clock;
    FleetBudget m_fleetBudget;
    std::map<ServiceName, CalledService> m_services;
    RetriedRuns m_runs;
    /// Time of the last request that was rejected for lack of capacity.
    SteadyTime m_rejectedAt {};
    double m_chargedCalls = 0;
};

}

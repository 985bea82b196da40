#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/LoadReport.h"
#include "snipeweir/routing/OutlierDetector.h"
#include "snipeweir/routing/RouterSettings.h"
#include "snipeweir/routing/RouterTypes.h"
#include "snipeweir/routing/ServiceAverages.h"

#include <optional>
#include <vector>

namespace snipeweir {

/// State that a calling node keeps about one endpoint: reported load and service time, own calls and distance.
/// Estimates the cost of a call from it. EndpointTable decides phase changes. Not safe for concurrent use.
class Endpoint {
public:
    explicit Endpoint(EndpointCandidate, EndpointPhase);

    void onSent(SteadyTime now);

    /// @param averages Updated with the latency of a successful call.
    void onFinished(SteadyTime now, const CallResult&, ServiceAverages& averages);

    /// How a load report compares with the last one accepted.
    enum class ReportStatus {
        Outdated,
        Current,
        NewIncarnation,
    };

    /// Stores a report unless it is older than the last one or from the previous incarnation.
    /// @param averages Updated with the load and service time of a stored report.
    ReportStatus onReport(SteadyTime now, const LoadReport&, ServiceAverages& averages);

    /// @return Estimated cost of one more call in microseconds, for comparison with other endpoints only: service time
    /// times the cube of the load share, plus distance and penalties.
    double cost(SteadyTime now, const RouterSettings&, const ServiceAverages&) const;

    /// @return Concurrency limit from the last report, or an estimate if there is none; at least one.
    double slots(const ServiceAverages&) const;

    /// @return Fraction of its full weight that the endpoint has reached in slow start, in (0, 1].
    double rampFactor(SteadyTime now, std::chrono::nanoseconds returnRamp) const;

    void startRamp(SteadyTime now) { m_rampStart = now; }

    /// @param cost Result of cost() at the same time, in microseconds.
    /// @return State of the endpoint at this time, for the explain output.
    CandidateRecord record(SteadyTime now, const RouterSettings&, double cost) const;

    /// @return Age of the last report; empty if there never was one.
    std::optional<std::chrono::nanoseconds> reportAge(SteadyTime now) const;

    const std::optional<LoadReport>& report() const { return m_report; }
    uint32_t ownInFlight() const { return m_ownInFlight; }

    EndpointCandidate candidate;
    EndpointPhase phase;
    OutlierDetector outlier;
    SteadyTime ejectedUntil {};
    SteadyTime probedAt {};

private:
    double observedLatency(SteadyTime now, const ServiceAverages&) const;
    void decayObservations(SteadyTime now);

    std::optional<LoadReport> m_report;
    SteadyTime m_reportAt {};
    Incarnation m_previousIncarnation;
    uint32_t m_ownInFlight = 0;
    uint32_t m_ownInFlightAtReport = 0;
    /// Send times of the outstanding own calls, oldest first; bounded.
    std::vector<SteadyTime> m_sentTimes;

    /// Time spent on own calls, in microseconds, and number of own successes; both decay with time.
    double m_exposure = 0;
    double m_successes = 0;
    SteadyTime m_observedAt {};

    double m_failureShare = 0;
    SteadyTime m_failureAt {};
    double m_refusals = 0;
    SteadyTime m_refusedAt {};
    std::optional<SteadyTime> m_rampStart;
};

}

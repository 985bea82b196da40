#include "snipeweir/routing/Endpoint.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace snipeweir {

namespace {

    using Microseconds = std::chrono::duration<double, std::micro>;

    /// Bounds the memory and time of one estimate. Outstanding calls beyond it count only in m_ownInFlight.
    constexpr size_t maxSentTimes = 64;
    /// Weight of the service's mean latency in an endpoint's observed latency, in calls.
    constexpr double priorCalls = 3;
    /// An outstanding call counts for at most this many mean latencies, so that one long download does not make its
    /// endpoint look stuck.
    constexpr double maxOutstandingLatencies = 20;
    constexpr std::chrono::milliseconds observationTimeConstant { 200 };
    /// Time constant of a refusal's decay, in service times, because a full server frees a slot within one. With 50 ms,
    /// a refusal diverted so many calls to the other endpoints at 83% load that they refused calls too.
    constexpr double refusalServiceTimes = 2;
    constexpr std::chrono::milliseconds maxRefusalTimeConstant { 50 };
    constexpr std::chrono::milliseconds failureTimeConstant { 2000 };
    constexpr double refusalCost = 1;
    constexpr double failureWeight = 0.25;
    constexpr double minSuccessShare = 0.05;
    constexpr double minRampFactor = 0.02;
    /// Bounds ownCallWeight(), so that one own call does not outweigh a full report of a service with many callers.
    constexpr double maxOwnCallWeight = 10;
    /// Fraction of the mean limit that is assumed for an endpoint without a report, because it may be cold.
    constexpr double unreportedLimitShare = 0.25;

    constexpr double maxTimeConstants = 8;

    double microseconds(std::chrono::nanoseconds time) { return Microseconds(time).count(); }

    /// Approximates exp(-age / timeConstant) and is zero from maxTimeConstants on. Uses basic operations only, because
    /// results of exp() differ between C libraries.
    double decay(std::chrono::nanoseconds age, std::chrono::nanoseconds timeConstant)
    {
        const double x = std::max(0.0, static_cast<double>(age.count()) / static_cast<double>(timeConstant.count()));
        return x < maxTimeConstants ? 1 / (1 + x + x * x / 2 + x * x * x / 6) : 0;
    }

    std::chrono::nanoseconds refusalTimeConstant(const ServiceAverages& averages)
    {
        const Microseconds timeConstant(refusalServiceTimes * averages.serviceTime);
        return std::min<std::chrono::nanoseconds>(maxRefusalTimeConstant,
            std::chrono::duration_cast<std::chrono::nanoseconds>(timeConstant) + std::chrono::nanoseconds(1));
    }

    /// @return Number of calls that one own call in flight counts as, because other callers have sent calls that no
    /// report shows yet. The square root lies between counting it once and counting it once for every caller, which
    /// both performed worse.
    double ownCallWeight(const ServiceAverages& averages)
    {
        if (averages.ownPerSlot <= 0)
            return maxOwnCallWeight;
        return std::min(maxOwnCallWeight, 1 + std::sqrt(averages.othersPerSlot / averages.ownPerSlot));
    }

}

Endpoint::Endpoint(EndpointCandidate newCandidate, EndpointPhase initial)
    : candidate(std::move(newCandidate))
    , phase(initial)
{
}

void Endpoint::onSent(SteadyTime now)
{
    ++m_ownInFlight;
    if (m_sentTimes.size() < maxSentTimes)
        m_sentTimes.push_back(now);
}

void Endpoint::onFinished(SteadyTime now, const CallResult& result, ServiceAverages& averages)
{
    if (m_ownInFlight > 0)
        --m_ownInFlight;

    // Remove the outstanding call whose send time fits the latency best.
    if (!m_sentTimes.empty()) {
        const SteadyTime sent = now - result.latency;
        const auto distance = [sent](SteadyTime time) { return time < sent ? sent - time : time - sent; };
        m_sentTimes.erase(std::min_element(m_sentTimes.begin(), m_sentTimes.end(),
            [&](SteadyTime left, SteadyTime right) { return distance(left) < distance(right); }));
    }
    if (m_sentTimes.size() > m_ownInFlight)
        m_sentTimes.resize(m_ownInFlight);

    const double latency = microseconds(result.latency);
    switch (result.kind) {
    case CallResult::Kind::Refused:
        m_refusals = m_refusals * decay(now - m_refusedAt, refusalTimeConstant(averages)) + 1;
        m_refusedAt = now;
        return;
    case CallResult::Kind::Succeeded:
        if (averages.latency == 0)
            averages.latency = latency;
        ServiceAverages::update(averages.latency, latency);
        decayObservations(now);
        m_exposure += latency;
        m_successes += 1;
        m_failureShare = m_failureShare * decay(now - m_failureAt, failureTimeConstant) * (1 - failureWeight);
        m_failureAt = now;
        return;
    case CallResult::Kind::Failed:
    case CallResult::Kind::Lost:
        // A failure counts as time spent without a success, at least the mean latency, however fast it came.
        decayObservations(now);
        m_exposure += std::max(latency, averages.latency);
        m_failureShare
            = m_failureShare * decay(now - m_failureAt, failureTimeConstant) * (1 - failureWeight) + failureWeight;
        m_failureAt = now;
        return;
    }
}

Endpoint::ReportStatus Endpoint::onReport(SteadyTime now, const LoadReport& report, ServiceAverages& averages)
{
    ReportStatus status = ReportStatus::Current;
    if (m_report && report.incarnation != m_report->incarnation) {
        if (report.incarnation == m_previousIncarnation)
            return ReportStatus::Outdated;
        m_previousIncarnation = m_report->incarnation;
        status = ReportStatus::NewIncarnation;
    } else if (m_report && report.uptime < m_report->uptime) {
        return ReportStatus::Outdated;
    }
    m_report = report;
    m_reportAt = now;
    m_ownInFlightAtReport = m_ownInFlight;

    const double limit = std::max(1U, report.limit);
    const double others = std::max(0.0, static_cast<double>(report.inFlight) + report.queued - m_ownInFlightAtReport);
    ServiceAverages::update(averages.limit, limit);
    ServiceAverages::update(averages.ownPerSlot, m_ownInFlightAtReport / limit);
    ServiceAverages::update(averages.othersPerSlot, others / limit);
    if (report.serviceTime.count() > 0)
        ServiceAverages::update(averages.serviceTime, static_cast<double>(report.serviceTime.count()));
    return status;
}

double Endpoint::slots(const ServiceAverages& averages) const
{
    if (!m_report)
        return std::max(1.0, averages.limit * unreportedLimitShare);
    return std::max(1U, m_report->limit);
}

double Endpoint::rampFactor(SteadyTime now, std::chrono::nanoseconds returnRamp) const
{
    if (!m_rampStart || returnRamp.count() <= 0 || now - *m_rampStart >= returnRamp)
        return 1;
    return std::max(
        minRampFactor, static_cast<double>((now - *m_rampStart).count()) / static_cast<double>(returnRamp.count()));
}

std::optional<std::chrono::nanoseconds> Endpoint::reportAge(SteadyTime now) const
{
    if (!m_report)
        return std::nullopt;
    return now - m_reportAt;
}

double Endpoint::cost(SteadyTime now, const RouterSettings& settings, const ServiceAverages& averages) const
{
    // Load: own calls are known exactly; calls of other callers come from the report, which counts less as it ages.
    const double slotCount = slots(averages);
    const double freshness = m_report ? decay(now - m_reportAt, settings.loadReportMaxAge) : 0;
    double load = (1 - freshness) * averages.othersPerSlot * slotCount;
    double serviceTime = (1 - freshness) * averages.serviceTime;
    if (m_report) {
        const double total = static_cast<double>(m_report->inFlight) + m_report->queued;
        load += freshness * std::max(0.0, total - m_ownInFlightAtReport);
        const auto reported = static_cast<double>(m_report->serviceTime.count());
        serviceTime += freshness * (reported > 0 ? reported : averages.serviceTime);
    }

    // Reported service time, corrected by the latency of own calls, times the cube of the load share. Own calls count
    // several times, because other callers decide on similar data and have sent calls that no report shows yet.
    const double share = (load + ownCallWeight(averages) * m_ownInFlight + 1) / slotCount;
    const double slowness = averages.latency > 0 ? observedLatency(now, averages) / averages.latency : 1;
    double estimate = serviceTime * slowness * share * share * share;

    // Failures multiply the cost by the attempts needed per success; refusals add to it for a short time.
    const double failures = m_failureShare * decay(now - m_failureAt, failureTimeConstant);
    estimate /= std::max(minSuccessShare, 1 - failures);
    estimate += m_refusals * decay(now - m_refusedAt, refusalTimeConstant(averages)) * refusalCost
        * std::max(averages.serviceTime, serviceTime);
    if (candidate.dataCentre != settings.ownDataCentre)
        estimate += microseconds(settings.crossDataCentreCost);
    return estimate;
}

double Endpoint::observedLatency(SteadyTime now, const ServiceAverages& averages) const
{
    // Time spent per success, including the age of outstanding calls. This detects a server that became slow within
    // about one usual latency, long before its first slow response arrives.
    const double decayFactor = decay(now - m_observedAt, observationTimeConstant);
    double exposure = priorCalls * averages.latency + m_exposure * decayFactor;
    const double maxOutstanding = averages.latency > 0 ? maxOutstandingLatencies * averages.latency : 1e9;
    for (const SteadyTime sent : m_sentTimes)
        exposure += std::min(maxOutstanding, microseconds(now - sent));
    return exposure / (priorCalls + m_successes * decayFactor);
}

void Endpoint::decayObservations(SteadyTime now)
{
    const double decayFactor = decay(now - m_observedAt, observationTimeConstant);
    m_exposure *= decayFactor;
    m_successes *= decayFactor;
    m_observedAt = now;
}

CandidateRecord Endpoint::record(SteadyTime now, const RouterSettings& settings, double cost) const
{
    CandidateRecord record;
    record.vm = candidate.vm;
    record.phase = phase;
    record.estimatedCost = std::chrono::microseconds(std::llround(cost));
    if (m_report) {
        record.reportAge = std::chrono::duration_cast<std::chrono::microseconds>(now - m_reportAt);
        record.reportedLoad = m_report->inFlight + m_report->queued;
        record.limit = m_report->limit;
    }
    record.ownInFlight = m_ownInFlight;
    record.rampPercent = static_cast<uint32_t>(rampFactor(now, settings.rampDuration) * 100);
    return record;
}

}

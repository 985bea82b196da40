#include "snipeweir/telemetry/Metrics.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace snipeweir {

namespace {

    constexpr unsigned latencyBucketCount = 36;
    constexpr double minLatencySeconds = 0.0001;
    constexpr double maxLatencySeconds = 100.0;

    using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using LatencyHistogram = decltype(boost::histogram::make_histogram(LatencyAxis(1U, 1.0, 2.0)));

}

struct Metrics::Histogram {
    LatencyHistogram buckets
        = boost::histogram::make_histogram(LatencyAxis(latencyBucketCount, minLatencySeconds, maxLatencySeconds));
    double sum = 0;
    uint64_t count = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::countOutcome(Outcome outcome, Reason reason)
{
    ++m_outcomes.at(static_cast<size_t>(outcome));
    ++m_reasons.at(static_cast<size_t>(reason));
}

void Metrics::countRetry(RetryReason reason) { ++m_retries.at(static_cast<size_t>(reason)); }

void Metrics::count(const std::string& name, uint64_t increment)
{
    const std::lock_guard lock(m_mutex);
    m_counters[name] += increment;
}

void Metrics::observeLatency(const std::string& path, std::chrono::microseconds latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    const std::lock_guard lock(m_mutex);
    auto& histogram = m_latencies[path];
    if (!histogram)
        histogram = std::make_unique<Histogram>();
    histogram->buckets(seconds);
    histogram->sum += seconds;
    ++histogram->count;
}

void Metrics::addGauge(const std::string& name, std::function<double()> read)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[name] = std::move(read);
}

std::string Metrics::text() const
{
    std::ostringstream out;
    out << "# TYPE snipeweir_outcomes_total counter\n";
    for (size_t i = 0; i < m_outcomes.size(); ++i)
        out << "snipeweir_outcomes_total{outcome=\"" << outcomeName(static_cast<Outcome>(i)) << "\"} "
            << m_outcomes.at(i) << "\n";
    out << "# TYPE snipeweir_refusals_total counter\n";
    for (size_t i = 1; i < m_reasons.size(); ++i)
        out << "snipeweir_refusals_total{reason=\"" << reasonName(static_cast<Reason>(i)) << "\"} " << m_reasons.at(i)
            << "\n";
    out << "# TYPE snipeweir_retries_total counter\n";
    for (size_t i = 0; i < m_retries.size(); ++i)
        out << "snipeweir_retries_total{reason=\"" << retryReasonName(static_cast<RetryReason>(i)) << "\"} "
            << m_retries.at(i) << "\n";

    // Copy the gauges and read them after m_mutex is released, because a gauge may acquire locks of its own.
    std::map<std::string, std::function<double()>> gauges;
    {
        const std::lock_guard lock(m_mutex);
        gauges = m_gauges;
        for (const auto& [name, value] : m_counters)
            out << "# TYPE " << name << " counter\n" << name << " " << value << "\n";
        out << "# TYPE snipeweir_latency_seconds histogram\n";
        for (const auto& [path, histogram] : m_latencies) {
            uint64_t cumulative = static_cast<uint64_t>(histogram->buckets.at(-1));
            for (unsigned i = 0; i < latencyBucketCount; ++i) {
                cumulative += static_cast<uint64_t>(histogram->buckets.at(static_cast<int>(i)));
                out << "snipeweir_latency_seconds_bucket{path=\"" << path << "\",le=\""
                    << histogram->buckets.axis().bin(static_cast<int>(i)).upper() << "\"} " << cumulative << "\n";
            }
            out << "snipeweir_latency_seconds_bucket{path=\"" << path << "\",le=\"+Inf\"} " << histogram->count << "\n";
            out << "snipeweir_latency_seconds_sum{path=\"" << path << "\"} " << histogram->sum << "\n";
            out << "snipeweir_latency_seconds_count{path=\"" << path << "\"} " << histogram->count << "\n";
        }
    }
    for (const auto& [name, read] : gauges)
        out << "# TYPE " << name << " gauge\n" << name << " " << read() << "\n";
    return out.str();
}

}

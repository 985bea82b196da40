#pragma once

#include "snipeweir/core/CallTypes.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace snipeweir {

/// Counters, gauges and latency histograms of one node, exported in the Prometheus text format. The counters of all
/// outcomes and reasons exist from the start, so that one that never occurred is exported as 0. Thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void countOutcome(Outcome, Reason);
    void countRetry(RetryReason);

    /// Increments a counter; creates it if it does not exist.
    /// @param name Full metric name.
    /// @param increment Amount to add.
    void count(const std::string& name, uint64_t increment = 1);

    /// Adds a request to the latency histogram of a path.
    /// @param path Value of the path label: "calling" or "serving".
    /// @param latency Time from receipt of the request to the end of its response.
    void observeLatency(const std::string& path, std::chrono::microseconds latency);

    /// Registers a gauge.
    /// @param name Full metric name.
    /// @param read Returns the current value. Called by text() on its thread, without a lock held.
    void addGauge(const std::string& name, std::function<double()> read);

    /// @return All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct Histogram;

    std::array<std::atomic<uint64_t>, 3> m_outcomes {};
    std::array<std::atomic<uint64_t>, reasonCount> m_reasons {};
    std::array<std::atomic<uint64_t>, retryReasonCount> m_retries {};

    // Guarded by m_mutex.
    mutable std::mutex m_mutex;
    std::map<std::string, uint64_t> m_counters;
    std::map<std::string, std::function<double()>> m_gauges;
    std::map<std::string, std::unique_ptr<Histogram>> m_latencies;
};

}

#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"

#include <map>
#include <memory>

namespace snipeweir {

/// Probabilities that the runs at the backend server beside this node are retries, and the calls that the runs make.
/// A call cannot be told from a request of a caller on the same VM and does not identify its run, so only expected
/// values are known, and requests of callers that arrive during a run count as calls. Not safe for concurrent use.
class RetriedRuns {
    /// Sums over the runs. Owned jointly with the runs, which may be destroyed after this object.
    struct Sums {
        uint32_t running = 0;
        /// Number of runs that started since the last update of m_runs.
        uint32_t newRuns = 0;
        double runningRetries = 0;
    };

public:
    /// One run at the backend server, which lasts as long as this object.
    class Run {
    public:
        Run(std::shared_ptr<Sums>, double retryProbability);
        Run(Run&&) noexcept = default;
        Run& operator=(Run&&) = delete;
        Run(const Run&) = delete;
        Run& operator=(const Run&) = delete;
        ~Run();

    private:
        /// Null after a move.
        std::shared_ptr<Sums> m_sums;
        double m_retryProbability;
    };

    explicit RetriedRuns(const Clock& clock)
        : m_clock(clock)
        , m_sums(std::make_shared<Sums>())
        , m_updatedAt(clock.now())
    {
    }

    // A copy would share the sums with the original.
    RetriedRuns(const RetriedRuns&) = delete;
    RetriedRuns& operator=(const RetriedRuns&) = delete;
    RetriedRuns(RetriedRuns&&) noexcept = default;
    RetriedRuns& operator=(RetriedRuns&&) = delete;
    ~RetriedRuns() = default;

    /// Call when a request is sent to the backend server.
    /// @param retryProbability Probability that it is a retry or the call of a retried run, 0 to 1.
    Run start(double retryProbability);

    /// Counts a request that arrives from this VM.
    /// @return Probability that a retried run made it: the expected share of retries among the runs.
    double onCall(const ServiceName&);

    /// @return Mean number of recent calls per run for each called service, without rarely called ones.
    std::map<ServiceName, double> callsPerRun();

private:
    void update();

    const Clock& m_clock;
    std::shared_ptr<Sums> m_sums;
    // Counts that decay with countLifetime.
    double m_runs = 0;
    std::map<ServiceName, double> m_calls;
    SteadyTime m_updatedAt;
};

}

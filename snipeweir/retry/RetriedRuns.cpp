#include "snipeweir/retry/RetriedRuns.h"

#include <algorithm>
#include <cmath>

namespace snipeweir {

namespace {

    constexpr std::chrono::duration<double> countLifetime { 10 };
    /// Calls per run below which a service counts as rarely called. Its exhausted budget must not prevent all retries
    /// of the calling service.
    constexpr double minCallsPerRun = 0.05;

}

RetriedRuns::Run::Run(std::shared_ptr<Sums> sums, double retryProbability)
    : m_sums(std::move(sums))
    , m_retryProbability(retryProbability)
{
    ++m_sums->running;
    ++m_sums->newRuns;
    m_sums->runningRetries += m_retryProbability;
}

RetriedRuns::Run::~Run()
{
    if (!m_sums)
        return;
    --m_sums->running;
    m_sums->runningRetries -= m_retryProbability;
}

RetriedRuns::Run RetriedRuns::start(double retryProbability)
{
    return { m_sums, std::clamp(retryProbability, 0.0, 1.0) };
}

double RetriedRuns::onCall(const ServiceName& service)
{
    if (m_sums->running == 0)
        return 0;
    update();
    m_calls[service] += 1;
    return std::clamp(m_sums->runningRetries / m_sums->running, 0.0, 1.0);
}

std::map<ServiceName, double> RetriedRuns::callsPerRun()
{
    update();
    std::map<ServiceName, double> means;
    for (const auto& [service, calls] : m_calls) {
        const double mean = calls / std::max(1.0, m_runs);
        if (mean >= minCallsPerRun)
            means.emplace(service, mean);
    }
    return means;
}

void RetriedRuns::update()
{
    const SteadyTime now = m_clock.now();
    const double kept = std::exp(-(std::chrono::duration<double>(now - m_updatedAt) / countLifetime));
    m_updatedAt = now;
    m_runs = m_runs * kept + m_sums->newRuns;
    m_sums->newRuns = 0;
    for (auto& [service, calls] : m_calls)
        calls *= kept;
    std::erase_if(m_calls, [](const auto& entry) { return entry.second < minCallsPerRun; });
}

}

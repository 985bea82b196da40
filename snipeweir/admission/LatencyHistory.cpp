#include "snipeweir/admission/LatencyHistory.h"

#include <algorithm>

namespace snipeweir {

namespace {

    constexpr size_t minWindowSamples = 10;
    constexpr size_t maxWindowSamples = 200;
    constexpr auto minWindowTime = std::chrono::milliseconds(100);

    // A latency is far above the baseline if it exceeds both three times the median and twice the 90th percentile. With
    // exponentially distributed latencies 1% of the calls do; on a server that became five times slower, 40% do.
    constexpr int medianFactor = 3;
    constexpr int p90Factor = 2;

    // At 1% per window of 100 ms, the baseline reaches the latency of a server that stays three times slower after
    // about 11 s.
    constexpr int riseDivisor = 100;
    constexpr int fallDivisor = 4;

    void updateEstimate(std::chrono::microseconds& estimate, std::chrono::microseconds sample)
    {
        if (estimate.count() == 0)
            estimate = sample;
        else if (sample < estimate)
            estimate -= (estimate - sample + std::chrono::microseconds(fallDivisor - 1)) / fallDivisor;
        else
            estimate = std::min(sample, estimate + estimate / riseDivisor + std::chrono::microseconds(1));
    }

}

void LatencyHistory::add(std::chrono::microseconds latency, SteadyTime now)
{
    if (m_window.empty())
        m_windowStart = now;
    if (m_window.size() < maxWindowSamples)
        m_window.push_back(latency);
    if (m_window.size() < minWindowSamples || now - m_windowStart < minWindowTime)
        return;

    std::ranges::sort(m_window);
    m_latestMedian = std::max(m_window[m_window.size() / 2], std::chrono::microseconds(1));
    updateEstimate(m_baseline, m_latestMedian);
    updateEstimate(m_baselineP90, std::max(m_window[m_window.size() * 9 / 10], m_latestMedian));
    ++m_completedWindows;
    m_window.clear();
}

bool LatencyHistory::isFarAboveBaseline(std::chrono::microseconds latency) const
{
    return m_completedWindows > 0 && latency > std::max(medianFactor * m_baseline, p90Factor * m_baselineP90);
}

}

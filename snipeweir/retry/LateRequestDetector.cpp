#include "snipeweir/retry/LateRequestDetector.h"

#include <algorithm>

namespace snipeweir {

bool LateRequestDetector::isLate(std::chrono::milliseconds callerTimeout, std::chrono::milliseconds targetLatency)
{
    const size_t sampleCount = std::min(m_count, m_recentTimeouts.size());
    bool result = false;
    if (sampleCount >= minSamples) {
        auto sorted = m_recentTimeouts;
        const auto usualTimeout
            = sorted.begin() + static_cast<ptrdiff_t>(sampleCount * m_settings.usualQuantilePercent / 100);
        std::nth_element(sorted.begin(), usualTimeout, sorted.begin() + static_cast<ptrdiff_t>(sampleCount));
        const auto minNewTimeout = *usualTimeout * (100 - m_settings.spreadPercent) / 100;
        result = callerTimeout < minNewTimeout - targetLatency;
    }
    m_recentTimeouts.at(m_count % m_recentTimeouts.size()) = callerTimeout;
    ++m_count;
    return result;
}

}

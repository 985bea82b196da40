#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace snipeweir {

/// Detects requests whose target latency has already passed, from the timeout that the caller sends. A caller that
/// retries after a refusal or a lost connection sends a new request with the rest of its timeout, and nothing else
/// marks that request as late. This matters after an outage, when retries of callers that have waited for seconds and
/// new requests arrive together and only the new ones can be served in time. Deterministic; one object for each route.
class LateRequestDetector {
public:
    struct Settings {
        /// Quantile of the recent timeouts, in percent, that is taken as the timeout of new requests; most are new.
        uint32_t usualQuantilePercent = 90;
        /// Spread of the timeouts of new requests, in percent.
        uint32_t spreadPercent = 20;
    };

    explicit LateRequestDetector(Settings settings)
        : m_settings(settings)
    {
    }

    /// Compares a request with the previous ones and records its timeout.
    /// @param callerTimeout Time for which the caller still waits.
    /// @param targetLatency Target latency of the route.
    /// @return Whether the request began so long ago that its response is certain to be late.
    bool isLate(std::chrono::milliseconds callerTimeout, std::chrono::milliseconds targetLatency);

private:
    /// Number of recorded requests below which none is reported as late. Small, because callers that have waited retry
    /// right after a restart; below ten requests the quantile is the longest timeout.
    static constexpr size_t minSamples = 3;

    Settings m_settings;
    std::array<std::chrono::milliseconds, 64> m_recentTimeouts {};
    size_t m_count = 0;
};

}

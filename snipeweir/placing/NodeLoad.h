#pragma once

#include "snipeweir/core/Clock.h"

#include <cstdint>
#include <string>

namespace snipeweir {

/// Load of a backend server as reported by the node beside it. Sent in reply to a load query.
struct NodeLoad {
    /// Instance of the backend server; empty if there is none.
    std::string instance;
    /// Whether the node admits new requests.
    bool isAccepting = false;
    uint32_t running = 0;
    uint32_t waiting = 0;
    /// Maximum number of requests that run concurrently.
    uint32_t limit = 1;
    /// Current service time in percent of the usual service time.
    uint32_t slownessPercent = 100;
    /// Whether the slowness is expected to end soon; the node holds long requests back until it has ended.
    bool isSlowdownTransient = false;
    /// Mean service time of recent requests, scaled to the current slowness.
    std::chrono::microseconds meanServiceTime { 0 };
    /// Share of the recent requests that failed.
    uint32_t failurePercent = 0;
    /// Requests that a backend server with a limited rate, because it is cold or names a rate limit, may start
    /// immediately; unlimitedStartTokens if its rate is not limited.
    uint32_t startTokens = unlimitedStartTokens;
    /// Interval at which a backend server with a limited rate may start one more request.
    std::chrono::microseconds startInterval { 0 };

    static constexpr uint32_t unlimitedStartTokens = 1000;
    /// Typical duration of a slowdown by noisy neighbours on the same host.
    static constexpr std::chrono::milliseconds typicalSlowdownDuration { 300 };

    bool operator==(const NodeLoad&) const = default;
};

}

#pragma once

#include <cstdint>

namespace snipeweir {

/// What a serving node reports about retries in its response to the calling node. The defaults are those of a node of
/// a version without such reports.
struct RetryReport {
    /// Whether the backend server failed while a service that it calls rejected calls for lack of capacity, so that a
    /// retry would most likely fail as well.
    bool isFutile = false;
    /// Number of times that the node sent the request to its backend server again on a new connection.
    uint32_t resends = 0;
    /// Most arrivals that one run at the backend server causes at any service, directly or through other services.
    double fanout = 1;

    bool operator==(const RetryReport&) const = default;
};

}

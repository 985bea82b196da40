#pragma once

#include "snipeweir/routing/RouterTypes.h"

#include <cstddef>
#include <vector>

namespace snipeweir {

/// Deterministic subsetting: selects the endpoints that one caller uses. All endpoints are placed on a ring, ordered by
/// hash and interleaved by data centre; caller i starts at the fraction i * golden ratio (modulo one) of the ring and
/// takes consecutive endpoints. Callers are spread evenly for any number of callers, and an endpoint that joins or
/// leaves shifts each window by about one position. Stateless.
class Subset {
public:
    /// @param callerIndex Rank of the caller among the callers of the service.
    /// @param size Number of usable endpoints wanted. Endpoints that cannot take calls are replaced by the next ones on
    /// the ring, but stay in the result, so that they are used again when they return.
    /// @return The caller's endpoints; all of them if there are no more than size.
    static std::vector<EndpointCandidate> choose(
        size_t callerIndex, size_t size, const std::vector<EndpointCandidate>& endpoints);
};

}

#pragma once

#include "snipeweir/core/Random.h"
#include "snipeweir/routes/RouteConfiguration.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace snipeweir {

/// Divides the requests of each route among its services by weight. Smooth weighted round robin keeps every service
/// within one request of its share; each node starts at a random point, so that nodes do not select the same service
/// at the same time. An overloaded service keeps its share, because operators chose it. Not safe for concurrent use.
class TrafficSplitter {
public:
    explicit TrafficSplitter(uint64_t seed)
        : m_random(seed)
    {
    }

    /// @return The service for the next request of the route.
    const ServiceName& next(const Route&);

private:
    struct State {
        std::vector<ServiceShare> shares;
        std::vector<double> credits;
    };

    Random m_random;
    std::unordered_map<std::string, State> m_states;
};

}

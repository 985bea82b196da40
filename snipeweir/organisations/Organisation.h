#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace snipeweir {

/// One organisation of the configuration.
struct Organisation {
    std::string name;
    /// Overrides the priority of the route; empty for none.
    std::optional<uint32_t> priority;
    /// Requests per second over all nodes together; 0 for no limit.
    double requestsPerSecond = 0;
    /// Requests beyond that rate that may come together; 0 for no limit if the rate is 0 as well.
    double burst = 0;
};

}

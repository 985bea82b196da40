#pragma once

#include <chrono>

namespace snipeweir {

/// Bounds on the requests of an organisation in any window, over all nodes: (rate x window + burst) x (1 + overage) +
/// slack.
struct QuotaBounds {
    std::chrono::milliseconds window { 5000 };
    double overage = 0.25;
    double slack = 20;
};

}

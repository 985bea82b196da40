#pragma once

#include "snipeweir/core/Identity.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace snipeweir {

/// Routing settings of one service; defaults as in section 7 of docs/design.md.
struct RouterSettings {
    DataCentreName ownDataCentre;
    /// Age at which a load report counts for 3/8 as much as a fresh one, and a probe is due.
    std::chrono::milliseconds loadReportMaxAge { 200 };
    std::chrono::microseconds crossDataCentreCost { 1000 };
    uint32_t probeBudgetPerSecond = 5;
    size_t subsetSize = 12;
    /// Rank of this node among the callers. If empty, every endpoint is used instead of a subset.
    std::optional<size_t> callerIndex;
    uint32_t outlierThreshold = 5;
    std::chrono::milliseconds ejectionDuration { 5000 };
    uint32_t maxEjectedPercent = 50;
    std::chrono::milliseconds rampDuration { 10'000 };
};

}

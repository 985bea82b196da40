#pragma once

#include <chrono>
#include <cstdint>

namespace snipeweir {

/// Settings in force for one service on one VM. The default of a field applies if the fleet configuration does not set
/// its key. Ranges and descriptions are in PolicyKeys.cpp.
struct Policy {
    uint32_t probeBudgetPerSecond = 5;
    std::chrono::milliseconds loadReportMaxAge { 200 };
    uint32_t subsetSize = 12;
    std::chrono::microseconds crossDataCentreCost { 1'000 };
    uint32_t outlierThreshold = 5;
    std::chrono::milliseconds ejectionDuration { 5'000 };
    uint32_t maxEjectedPercent = 50;
    std::chrono::milliseconds rampDuration { 10'000 };

    uint32_t slots = 10;
    uint32_t maxConnections = 250;
    uint32_t reservedInternalSlots = 2;
    uint32_t queueLength = 10;
    std::chrono::milliseconds queueTimeout { 50 };
    uint32_t coldInitialLimit = 1;

    uint32_t retryBudgetPercent = 10;
    uint32_t maxAttempts = 3;
    uint32_t hedgeBudgetPercent = 2;
    std::chrono::milliseconds hedgeDelay { 50 };

    std::chrono::milliseconds defaultDeadline { 2'000 };
    std::chrono::milliseconds maxDeadline { 120'000 };
    std::chrono::milliseconds noProgressTimeout { 600 };
    std::chrono::milliseconds connectTimeout { 250 };
    std::chrono::milliseconds drainTimeout { 120'000 };
    uint32_t maxRequestBodyBytes = 262'144;

    std::chrono::milliseconds keyWindow { 600'000 };
    uint32_t keyLedgerSize = 20'000;
    uint32_t keptResponseBytes = 4'096;

    std::chrono::milliseconds pauseBound { 250 };
    std::chrono::milliseconds pauseSettle { 200 };

    bool operator==(const Policy&) const = default;
};

}

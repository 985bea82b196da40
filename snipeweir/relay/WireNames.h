#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace snipeweir {

/// Load that a backend server reports in its own answers.
struct ReportedLoad {
    uint32_t slots = 0;
    /// Time that work takes now, in percent of the usual time.
    uint32_t slownessPercent = 100;
};

/// Names of the header fields that callers and backend servers use. The defaults are the product's own; an adapter
/// replaces them by those of its platform.
struct WireNames {
    std::string callId = "Snipeweir-Call-Id";
    /// Milliseconds that the sender still waits.
    std::string deadline = "Snipeweir-Deadline-Ms";
    /// Signature that a backend server puts on each answer of its own.
    std::string signature = "Snipeweir-Signature";
    /// Present where the backend server did not run the request.
    std::string notRun = "Snipeweir-Not-Run";
    /// Instance that is meant; another one refuses the request.
    std::string expectedInstance = "Snipeweir-Wanted-Instance";
    /// Service that runs on the machine where the request began.
    std::string callerService = "Snipeweir-Calling-Service";
    std::string load = "Snipeweir-Reported-Load";
    /// Instance that answers a health check.
    std::string instance = "Snipeweir-Instance";
    /// Milliseconds for which the backend server stays cold.
    std::string coldRemaining = "Snipeweir-Cold-For";
    std::string readyPath = "/ready";

    /// Reads the value of the load field; empty if it is malformed.
    std::function<std::optional<ReportedLoad>(std::string_view)> parseLoad;
};

}

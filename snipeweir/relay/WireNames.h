#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace snipeweir {

/// Load that a backend server reports in its responses.
struct ReportedLoad {
    /// Number of requests that the server runs concurrently.
    uint32_t slots = 0;
    /// Current service time, in percent of the usual service time.
    uint32_t slownessPercent = 100;
};

/// Names of the header fields and paths that callers, backend servers and the platform use. The defaults are the
/// product's own; an adapter sets those of its platform.
struct WireNames {
    std::string callId = "Snipeweir-Call-Id";
    /// Time until the sender stops waiting, in milliseconds.
    std::string deadline = "Snipeweir-Deadline-Ms";
    /// Signature that a backend server adds to each response of its own.
    std::string signature = "Snipeweir-Signature";
    /// Present in a response if the backend server did not run the request.
    std::string notRun = "Snipeweir-Not-Run";
    /// Instance that must run the request; any other instance refuses it.
    std::string expectedInstance = "Snipeweir-Wanted-Instance";
    /// Service on the VM from which the request was sent.
    std::string callerService = "Snipeweir-Calling-Service";
    /// Load report of a backend server, in the format that parseLoad reads.
    std::string load = "Snipeweir-Reported-Load";
    /// Instance that responds to a health check.
    std::string instance = "Snipeweir-Instance";
    /// Time for which the backend server stays cold, in milliseconds.
    std::string coldRemaining = "Snipeweir-Cold-For";
    /// Present in all responses of a backend server that leaves.
    std::string leaving = "Snipeweir-Leaving";
    /// Requests per second that a backend server takes from all nodes together, a decimal number; present in all of its
    /// responses while it has such a limit.
    std::string rateLimit = "Snipeweir-Rate-Limit";
    /// Name of the organisation whose key a request carries; set by the node for the backend server.
    std::string organisation = "Snipeweir-Calling-Organisation";
    /// Field with the key of an organisation, and the scheme that precedes the key in it.
    std::string authorization = "Authorization";
    std::string authorizationScheme = "Bearer";
    std::string readyPath = "/ready";

    /// Parses the value of the load field; returns no value if it is malformed.
    std::function<std::optional<ReportedLoad>(std::string_view)> parseLoad;
};

}

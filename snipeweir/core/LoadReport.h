#pragma once

#include "snipeweir/core/Identity.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipeweir {

/// Phase of an endpoint's lifecycle; the names match charts/endpoint.json.
enum class EndpointPhase {
    Starting,
    Cold,
    Serving,
    Draining,
    Gone,
    Ejected,
};

/// @return The phase's name as in charts/endpoint.json.
std::string_view phaseName(EndpointPhase);

/// @return The phase with that name; empty if there is none.
std::optional<EndpointPhase> phaseFromName(std::string_view);

/// Load of the backend server beside a serving node, as that node sees it. Sent with every response, refusal and probe
/// reply.
struct LoadReport {
    uint32_t inFlight = 0;
    uint32_t queued = 0;
    uint32_t limit = 0;
    EndpointPhase phase = EndpointPhase::Starting;
    std::chrono::microseconds serviceTime { 0 };
    std::chrono::milliseconds uptime { 0 };
    Incarnation incarnation;

    /// @return Text for the Snipeweir-Load header.
    std::string toHeader() const;

    /// @param text Value of a Snipeweir-Load header from another node.
    /// @return The report; empty if the text is malformed.
    static std::optional<LoadReport> fromHeader(std::string_view text);

    bool operator==(const LoadReport&) const = default;
};

}

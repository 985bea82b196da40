#pragma once

#include "snipeweir/core/CallTypes.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/core/LoadReport.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace snipeweir {

/// An endpoint of the called service, from the fleet view.
struct EndpointCandidate {
    VmId vm;
    DataCentreName dataCentre;
    bool isInService = true;
    bool isLeaving = false;
    bool isAlive = true;
};

struct ChooseRequest {
    CallClass callClass = CallClass::Public;
    /// Endpoints to which earlier attempts of this call were sent.
    std::vector<VmId> excluded;
};

/// State of an endpoint at the time when it was compared with others.
struct CandidateRecord {
    VmId vm;
    EndpointPhase phase = EndpointPhase::Starting;
    std::chrono::microseconds estimatedCost { 0 };
    /// Age of the load report; empty if there never was one.
    std::optional<std::chrono::microseconds> reportAge;
    uint32_t ownInFlight = 0;
    uint32_t reportedLoad = 0;
    uint32_t limit = 0;
    /// Percentage of its full weight that an endpoint in slow start has reached.
    uint32_t rampPercent = 100;
};

struct EndpointChoice {
    VmId vm;
    /// Zero if no load report of the endpoint has arrived yet.
    Incarnation incarnation;
    /// Uptime from the last report plus the report's age; never ahead of the endpoint's actual uptime.
    std::chrono::milliseconds uptime { 0 };
    std::vector<CandidateRecord> considered;
};

struct CallResult {
    enum class Kind {
        Succeeded,
        /// The serving node proved that the call was not run.
        Refused,
        /// The backend server responded with 5xx or the response was malformed.
        Failed,
        /// The connection was lost or made no progress.
        Lost,
    };
    Kind kind = Kind::Succeeded;
    std::chrono::microseconds latency { 0 };
};

struct EndpointSnapshot {
    VmId vm;
    DataCentreName dataCentre;
    EndpointPhase phase = EndpointPhase::Starting;
    bool isCandidate = false;
    std::optional<LoadReport> report;
    std::optional<std::chrono::microseconds> reportAge;
    std::chrono::microseconds estimatedCost { 0 };
    uint32_t ownInFlight = 0;
    uint32_t rampPercent = 100;
    std::chrono::milliseconds ejectedFor { 0 };
};

}

#pragma once

#include "snipeweir/core/Random.h"
#include "snipeweir/placing/NodeLoad.h"

#include <optional>
#include <vector>

namespace snipeweir {

/// Properties of a request that determine the cost of each candidate.
struct RequestProfile {
    /// Usual service time on a backend server that is not slowed down.
    std::chrono::microseconds usualServiceTime { 100'000 };
    /// Time left until the target latency is exceeded; may be negative.
    std::chrono::microseconds timeToTarget { 500'000 };
    /// Usual size of the response.
    double responseBytes = 1000;
};

/// A backend server that the request may be sent to.
struct PlacementCandidate {
    NodeLoad load;
    /// Time since the load was reported.
    std::chrono::microseconds loadAge { 0 };
    std::chrono::microseconds roundTrip { 0 };
    bool isSameDataCentre = true;
    /// Whether the node has not replied to the latest load queries.
    bool isUnresponsive = false;
};

/// Chooses the backend server with the lowest expected cost for a request. Designed for load that shifts within
/// milliseconds: noisy neighbours slow a backend server down fourfold for a few hundred milliseconds, and queues build
/// up while a request runs. Deterministic: the same inputs give the same choice.
class Placement {
public:
    struct Settings {
        /// Cost of one byte sent across data centres, as a share of the value of a request; derived from the price of
        /// traffic between data centres.
        double costPerCrossDataCentreByte = 4e-6;
        /// Half-life of the weight of a reported slowness; slowdowns by noisy neighbours last about 300 ms.
        std::chrono::milliseconds slownessHalfLife { 200 };
        /// Mean slowness assumed in place of an outdated report, in percent of the usual service time.
        uint32_t defaultSlownessPercent = 150;
        /// Cost of a failed request, relative to that of a late response.
        double failureCost = 2;
        /// Time that a node takes to forward a request and its response, in round trips.
        int hopRoundTrips = 4;
        /// Service time of a backend server with a limited rate of starts, because it is cold or names a rate limit, as
        /// a multiple of the usual service time.
        double limitedRateFactor = 2;
        /// Maximum age of the report of an unresponsive node, which is used when no other node is known. Saturated
        /// links lose datagrams while TCP connections over them still work; a node that is down has been unresponsive
        /// for longer.
        std::chrono::milliseconds maxUnresponsiveReportAge { 3000 };
    };

    explicit Placement(Settings settings)
        : m_settings(settings)
    {
    }

    /// @return Expected time from sending the request to the end of the response.
    std::chrono::microseconds expectedLatency(const RequestProfile&, const PlacementCandidate&) const;

    /// @return Cost relative to the value of a request; its latency term is the square of the expected latency divided
    /// by the time left until the target.
    double cost(const RequestProfile&, const PlacementCandidate&) const;

    /// @return Index of the candidate with the lowest cost among those that accept requests. An unresponsive candidate
    /// is chosen only if there is no other and its load is recent enough. Empty if no candidate qualifies.
    std::optional<size_t> choose(const RequestProfile&, const std::vector<PlacementCandidate>&) const;

private:
    std::optional<size_t> chooseAmong(
        const RequestProfile&, const std::vector<PlacementCandidate>&, bool isUnresponsive) const;

    Settings m_settings;
};

}

#pragma once

#include "snipeweir/core/Random.h"
#include "snipeweir/placing/NodeLoad.h"

#include <optional>
#include <vector>

namespace snipeweir {

/// What is known of one request before it is placed.
struct RequestProfile {
    /// Usual run on an undisturbed backend server.
    std::chrono::microseconds work { 100'000 };
    /// Time left until the answer is late; may be negative.
    std::chrono::microseconds targetLeft { 500'000 };
    /// Usual size of the answer.
    double answerBytes = 1000;
};

/// One backend server that may take the request.
struct PlacementCandidate {
    NodeLoad load;
    /// Age of the load.
    std::chrono::microseconds age { 0 };
    std::chrono::microseconds roundTrip { 0 };
    bool isSameDataCentre = true;
    /// Whether the node has left the last questions unanswered.
    bool isSilent = false;
};

/// Estimates where a request is answered in time at the least cost. Answers the load that shifts within milliseconds:
/// neighbours slow a backend server fourfold for a few hundred milliseconds, and queues build while a request runs.
/// Pure: the same inputs give the same order.
class Placement {
public:
    struct Settings {
        /// Share of a request's worth that one byte across data centres costs; from the price of traffic between them.
        double costPerCrossByte = 4e-6;
        /// Time in which the slowness of a machine is forgotten by half; neighbours come and go in about 300 ms.
        std::chrono::milliseconds slownessHalfLife { 200 };
        /// Mean slowness assumed when nothing fresh is known, in percent of the usual time.
        uint32_t usualSlownessPercent = 150;
        /// Weight of a failure against a late answer.
        double failureCost = 2;
        /// Round trips' worth of time that a node takes to pass a request on and its answer back.
        int hopRoundTrips = 4;
        /// Work of a cold backend server, in multiples of the usual.
        double coldFactor = 2;
        /// Age up to which the report of a silent node is used when no other node is known. Datagrams are lost on full
        /// links, on which connections still work; a node that is down has been silent for longer.
        std::chrono::milliseconds silentReportLife { 3000 };
    };

    explicit Placement(Settings settings)
        : m_settings(settings)
    {
    }

    /// @return Expected time from sending to the whole answer.
    std::chrono::microseconds expectedLatency(const RequestProfile&, const PlacementCandidate&) const;

    /// @return Cost for comparison, in requests' worth; grows with the square of expected latency over the time left.
    double cost(const RequestProfile&, const PlacementCandidate&) const;

    /// @return Position of the cheapest candidate that accepts requests; one that is silent only if there is no other.
    /// Empty if none accepts.
    std::optional<size_t> choose(const RequestProfile&, const std::vector<PlacementCandidate>&) const;

private:
    std::optional<size_t> chooseAmong(
        const RequestProfile&, const std::vector<PlacementCandidate>&, bool isSilent) const;

    Settings m_settings;
};

}

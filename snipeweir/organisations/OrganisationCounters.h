#pragma once

#include "snipeweir/core/CallTypes.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace snipeweir {

/// Counts requests and their outcomes by organisation, for the metrics page. The organisations with most requests have
/// series of their own; all others share one, so that the number of series is bounded. For one thread.
class OrganisationCounters {
public:
    /// Number of organisations with series of their own.
    static constexpr size_t maxNamed = 32;

    /// @param organisation Name of the organisation; must not be empty.
    void onRequest(const std::string& organisation);
    void onOutcome(const std::string& organisation, Outcome);

    /// @return The counters in the Prometheus text format; empty before the first request.
    std::string text() const;

private:
    struct Counts {
        uint64_t requests = 0;
        std::array<uint64_t, 3> outcomes {};
    };

    /// @return The counters to increment for an organisation.
    Counts& countsOf(const std::string& organisation);
    /// Gives the organisation series of its own if it has clearly more requests than one that has them.
    void rank(const std::string& organisation, uint64_t total);

    /// Requests of each organisation since the start, to rank them.
    std::unordered_map<std::string, uint64_t> m_totals;
    std::unordered_map<std::string, Counts> m_named;
    Counts m_others;
};

}

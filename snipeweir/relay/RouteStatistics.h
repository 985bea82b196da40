#pragma once

#include "snipeweir/core/Identity.h"
#include "snipeweir/routes/RouteConfiguration.h"

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>

namespace snipeweir {

/// Moving averages of service time and response size for each route and service. Not safe for concurrent use.
class RouteStatistics {
public:
    struct Entry {
        /// Service time on a backend server that is not slowed down; zero before the first response.
        double serviceTimeMicroseconds = 0;
        double responseBytes = 0;
    };

    const Entry& find(const Route& route, const ServiceName& service) { return m_entries[key(route, service)]; }

    /// @return For each figure the largest of all services that the route leads to.
    Entry findLargest(const Route& route)
    {
        Entry largest;
        for (const ServiceShare& share : route.shares) {
            const Entry& entry = find(route, share.service);
            largest.serviceTimeMicroseconds = std::max(largest.serviceTimeMicroseconds, entry.serviceTimeMicroseconds);
            largest.responseBytes = std::max(largest.responseBytes, entry.responseBytes);
        }
        return largest;
    }

    /// Adds the sample of one response.
    /// @param measuredServiceTime Service time as measured, including any slowdown.
    /// @param slownessPercent Slowness of the backend server when the request started, in percent of the usual service
    /// time.
    /// @param responseBytes Size of the body; empty if it is not known.
    void add(const Route& route, const ServiceName& service, std::chrono::microseconds measuredServiceTime,
        uint32_t slownessPercent, std::optional<size_t> responseBytes)
    {
        constexpr double sampleWeight = 0.1;
        Entry& entry = m_entries[key(route, service)];
        const double serviceTime
            = static_cast<double>(measuredServiceTime.count()) * 100 / std::max(1U, slownessPercent);
        const bool isFirst = entry.serviceTimeMicroseconds <= 0;
        entry.serviceTimeMicroseconds += (isFirst ? 1 : sampleWeight) * (serviceTime - entry.serviceTimeMicroseconds);
        if (responseBytes)
            entry.responseBytes
                += (isFirst ? 1 : sampleWeight) * (static_cast<double>(*responseBytes) - entry.responseBytes);
    }

private:
    static std::string key(const Route& route, const ServiceName& service) { return route.name + "/" + service.text(); }

    std::unordered_map<std::string, Entry> m_entries;
};

}

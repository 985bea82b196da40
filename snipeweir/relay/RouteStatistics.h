#pragma once

#include "snipeweir/core/Identity.h"
#include "snipeweir/routes/RouteConfiguration.h"

#include <chrono>
#include <string>
#include <unordered_map>

namespace snipeweir {

/// Usual run and answer size of each route at each service, learned from answers. Not safe for concurrent use.
class RouteStatistics {
public:
    struct Entry {
        /// Run on an undisturbed backend server, in microseconds; zero before the first answer.
        double work = 0;
        double answerBytes = 0;
    };

    const Entry& find(const Route& route, const ServiceName& service) { return m_entries[key(route, service)]; }

    /// @param run Run as measured at a slowness.
    /// @param slownessPercent Slowness of the backend server when the run began.
    void add(const Route& route, const ServiceName& service, std::chrono::microseconds run, uint32_t slownessPercent,
        size_t answerBytes)
    {
        constexpr double sampleWeight = 0.1;
        Entry& entry = m_entries[key(route, service)];
        const double work = static_cast<double>(run.count()) * 100 / std::max(1U, slownessPercent);
        const bool isFirst = entry.work <= 0;
        entry.work += (isFirst ? 1 : sampleWeight) * (work - entry.work);
        entry.answerBytes += (isFirst ? 1 : sampleWeight) * (static_cast<double>(answerBytes) - entry.answerBytes);
    }

private:
    static std::string key(const Route& route, const ServiceName& service) { return route.name + "/" + service.text(); }

    std::unordered_map<std::string, Entry> m_entries;
};

}

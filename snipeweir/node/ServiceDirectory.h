#pragma once

#include "snipeweir/node/CalledService.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace snipeweir {

/// The services that this node calls, each created at its first call, and the current routing view, which updates them.
/// Safe for concurrent use.
class ServiceDirectory {
public:
    /// @param endpointChart State chart loaded from charts/endpoint.json.
    ServiceDirectory(VmId ownVm, DataCentreName ownDataCentre, StateChart endpointChart, const Clock&, uint64_t seed);

    /// Replaces the current view and updates all services from it.
    void setView(const std::shared_ptr<const RoutingView>&);

    /// @return The current view; never null.
    std::shared_ptr<const RoutingView> view() const;

    /// @return The service, created from the current view if this is its first call; null if no VM serves
    /// it or the endpoint chart is invalid.
    CalledService* findOrCreate(const ServiceName&);

    /// @return All services called so far.
    std::vector<std::pair<ServiceName, CalledService*>> calledServices() const;

private:
    const VmId m_ownVm;
    const DataCentreName m_ownDataCentre;
    const StateChart m_endpointChart;
    const Clock& m_clock;
    const uint64_t m_seed;

    // Guarded by m_mutex. Services are never removed, so pointers to them stay valid.
    mutable std::mutex m_mutex;
    std::shared_ptr<const RoutingView> m_view;
    std::map<ServiceName, std::unique_ptr<CalledService>> m_services;
};

}

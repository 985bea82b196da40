#include "snipeweir/node/ServiceDirectory.h"

namespace snipeweir {

ServiceDirectory::ServiceDirectory(
    VmId ownVm, DataCentreName ownDataCentre, StateChart endpointChart, const Clock& clock, uint64_t seed)
    : m_ownVm(std::move(ownVm))
    , m_ownDataCentre(std::move(ownDataCentre))
    , m_endpointChart(std::move(endpointChart))
    , m_clock(clock)
    , m_seed(seed)
    , m_view(std::make_shared<RoutingView>())
{
}

void ServiceDirectory::setView(const std::shared_ptr<const RoutingView>& view)
{
    std::vector<CalledService*> services;
    {
        const std::lock_guard lock(m_mutex);
        m_view = view;
        for (const auto& [name, service] : m_services)
            services.push_back(service.get());
    }
    for (CalledService* service : services)
        service->update(*view);
}

std::shared_ptr<const RoutingView> ServiceDirectory::view() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

CalledService* ServiceDirectory::findOrCreate(const ServiceName& name)
{
    std::shared_ptr<const RoutingView> current;
    CalledService* service = nullptr;
    {
        const std::lock_guard lock(m_mutex);
        current = m_view;
        const auto found = m_services.find(name);
        if (found != m_services.end())
            return found->second.get();
        if (!current->vmList || current->vmList->vmsOf(name).empty())
            return nullptr;
        auto created = handleErrors(
            [&] {
                return CalledService::create(
                    name, m_ownDataCentre, m_ownVm, m_endpointChart, m_clock, m_seed + m_services.size());
            },
            [](const Error&) { return std::unique_ptr<CalledService>(); });
        if (!created)
            return nullptr;
        service = created.get();
        m_services.emplace(name, std::move(created));
    }
    service->update(*current);
    return service;
}

std::vector<std::pair<ServiceName, CalledService*>> ServiceDirectory::calledServices() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<ServiceName, CalledService*>> services;
    services.reserve(m_services.size());
    for (const auto& [name, service] : m_services)
        services.emplace_back(name, service.get());
    return services;
}

}

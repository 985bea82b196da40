#include "snipeweir/fleet/FleetView.h"

#include <algorithm>

namespace snipeweir {

bool FleetView::updateBackends(BackendList list, SteadyTime lastOutageEnd, std::optional<SteadyTime> asOf)
{
    if (list.version < m_backends.version)
        return false;
    std::sort(list.entries.begin(), list.entries.end(),
        [](const BackendEntry& a, const BackendEntry& b) { return a.instance < b.instance; });

    // Keep entries that are probably missing only because the source was unavailable.
    const SteadyTime currentAt = asOf.value_or(m_clock.now());
    std::map<std::string, SteadyTime> missingEntryExpiry;
    std::vector<BackendEntry> kept;
    for (const BackendEntry& entry : m_backends.entries) {
        const bool isPresent = std::binary_search(list.entries.begin(), list.entries.end(), entry,
            [](const BackendEntry& a, const BackendEntry& b) { return a.instance < b.instance; });
        if (isPresent || list.removed.contains(entry.instance))
            continue;
        const auto known = m_missingEntryExpiry.find(entry.instance);
        const SteadyTime expiry
            = known == m_missingEntryExpiry.end() ? lastOutageEnd + missingEntryGrace : known->second;
        if (expiry <= currentAt)
            continue;
        missingEntryExpiry.emplace(entry.instance, expiry);
        kept.push_back(entry);
    }
    m_missingEntryExpiry = std::move(missingEntryExpiry);
    list.entries.insert(list.entries.end(), kept.begin(), kept.end());
    std::sort(list.entries.begin(), list.entries.end(),
        [](const BackendEntry& a, const BackendEntry& b) { return a.instance < b.instance; });

    const bool isChanged = !std::equal(list.entries.begin(), list.entries.end(), m_backends.entries.begin(),
        m_backends.entries.end(), [](const BackendEntry& a, const BackendEntry& b) { return a.isSameRegistration(b); });
    m_backends = std::move(list);
    rebuildIndexes();
    return isChanged;
}

bool FleetView::updateOperatorState(const OperatorState& state)
{
    if (state.version < m_operatorVersion)
        return false;
    m_operatorVersion = state.version;
    bool isChanged = m_evacuated != state.evacuated;
    m_evacuated = state.evacuated;
    if (state.configuration && (!m_routes || state.configuration->version > m_configurationVersion)) {
        m_configurationVersion = state.configuration->version;
        m_routes = std::make_shared<RouteTable>(state.configuration);
        m_configuredServices.clear();
        for (const auto& [service, policy] : state.configuration->services)
            m_configuredServices.insert(service);
        for (const Route& route : state.configuration->routes) {
            for (const ServiceShare& share : route.shares)
                m_configuredServices.insert(share.service);
        }
        isChanged = true;
    }
    rebuildIndexes();
    return isChanged;
}

bool FleetView::markLeaving(const BackendIncarnation& incarnation)
{
    if (!m_leaving.add(incarnation))
        return false;
    rebuildIndexes();
    return true;
}

void FleetView::limitMissing(SteadyTime lastOutageEnd)
{
    for (auto& [instance, expiry] : m_missingEntryExpiry)
        expiry = std::min(expiry, lastOutageEnd + missingEntryGrace);
}

bool FleetView::expireMissing(std::optional<SteadyTime> asOf)
{
    const SteadyTime currentAt = asOf.value_or(m_clock.now());
    bool isChanged = false;
    for (auto missing = m_missingEntryExpiry.begin(); missing != m_missingEntryExpiry.end();) {
        if (missing->second > currentAt) {
            ++missing;
            continue;
        }
        std::erase_if(m_backends.entries, [&](const BackendEntry& entry) { return entry.instance == missing->first; });
        missing = m_missingEntryExpiry.erase(missing);
        isChanged = true;
    }
    if (isChanged)
        rebuildIndexes();
    return isChanged;
}

std::optional<SteadyTime> FleetView::nextExpiry() const
{
    std::optional<SteadyTime> next;
    for (const auto& [instance, expiry] : m_missingEntryExpiry)
        next = next ? std::min(*next, expiry) : expiry;
    return next;
}

bool FleetView::isKnownService(const ServiceName& service) const
{
    return !m_routes || m_configuredServices.contains(service);
}

void FleetView::rebuildIndexes()
{
    m_newestByAddress.clear();
    for (const BackendEntry& entry : m_backends.entries) {
        // Another writer's entry must not replace that of the backend server at the same address.
        if (!isKnownService(entry.service))
            continue;
        const BackendEntry*& known = m_newestByAddress[entry.address];
        if (!known || entry.startedAtMs >= known->startedAtMs)
            known = &entry;
    }
    m_usableByService.clear();
    for (const auto& [address, entry] : m_newestByAddress) {
        if (!isLeaving(*entry) && !isEvacuated(entry->dataCentre))
            m_usableByService[entry->service].push_back(entry);
    }
}

const std::vector<const BackendEntry*>& FleetView::usable(const ServiceName& service) const
{
    static const std::vector<const BackendEntry*> none;
    const auto found = m_usableByService.find(service);
    return found == m_usableByService.end() ? none : found->second;
}

const BackendEntry* FleetView::findByAddress(const Address& address) const
{
    const auto found = m_newestByAddress.find(address);
    return found == m_newestByAddress.end() ? nullptr : found->second;
}

}

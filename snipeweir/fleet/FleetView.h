#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/fleet/BackendList.h"
#include "snipeweir/fleet/LeavingBackends.h"
#include "snipeweir/routes/RouteTable.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipeweir {

/// Fleet configuration and evacuations set by the operators, at one version of the source.
struct OperatorState {
    SourceVersion version;
    std::shared_ptr<const RouteConfiguration> configuration;
    std::set<DataCentreName> evacuated;
    std::vector<SkippedEntry> skipped = {};
    /// Key of the item with the configuration; empty if there is none.
    std::string configurationKey = {};
    /// Keys of the items that set data centres out of service.
    std::map<DataCentreName, std::string> evacuationKeys = {};
};

/// This node's view of the fleet: backend servers, current routes and data centres out of service. Ignores documents
/// with an older version than the current one, so that the view never goes back. Not safe for concurrent use.
class FleetView {
public:
    /// Time from the end of an outage for which missing entries are kept. Registrations that expired while the source
    /// was unavailable are renewed within about two seconds of its return.
    static constexpr std::chrono::milliseconds missingEntryGrace { 2200 };

    explicit FleetView(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// @param lastOutageEnd Time at which the source was back after its last outage; the epoch if it had none. Missing
    /// entries are kept until a list that was current missingEntryGrace later lacks them, too.
    /// @param asOf Time at which the list was current; now if empty.
    /// @return Whether the backend servers changed.
    bool updateBackends(BackendList, SteadyTime lastOutageEnd, std::optional<SteadyTime> asOf = std::nullopt);

    /// @return Whether the routes or the evacuated data centres changed.
    bool updateOperatorState(const OperatorState&);

    /// Shortens the grace period of missing entries, after the last outage turned out to be none or to have ended
    /// earlier.
    void limitMissing(SteadyTime lastOutageEnd);

    /// Removes missing entries whose grace period is over.
    /// @param asOf Time at which the list was still current; now if empty. A node that is partitioned off keeps missing
    /// entries, because it would not get those that are back.
    /// @return Whether an entry was removed.
    bool expireMissing(std::optional<SteadyTime> asOf = std::nullopt);

    /// @return End of the first grace period; empty if no entry is missing.
    std::optional<SteadyTime> nextExpiry() const;

    /// @return Whether the instance is missing from the last list and kept.
    bool isMissing(const std::string& instance) const { return m_missingEntryExpiry.contains(instance); }

    const std::vector<BackendEntry>& backends() const { return m_backends.entries; }
    SourceVersion backendVersion() const { return m_backends.version; }
    SourceVersion operatorVersion() const { return m_operatorVersion; }
    std::shared_ptr<const RouteTable> routes() const { return m_routes; }
    bool isEvacuated(const DataCentreName& dataCentre) const { return m_evacuated.count(dataCentre) != 0; }
    const std::set<DataCentreName>& evacuated() const { return m_evacuated; }

    /// Records that a backend server said in a response that it leaves, whatever its entry says.
    /// @return Whether the view changed.
    bool markLeaving(const BackendIncarnation&);

    /// @return Whether the backend server leaves, by its entry or by its own responses.
    bool isLeaving(const BackendEntry& entry) const
    {
        return entry.isDraining || m_leaving.contains(entry.incarnation());
    }

    /// @return The backend servers of a service that may receive requests: the newest entry of each address, unless it
    /// is leaving or in a data centre out of service. Valid until the next change of the view.
    const std::vector<const BackendEntry*>& usable(const ServiceName&) const;

    /// @return The newest entry with this address and a service of the configuration; null if there is none.
    const BackendEntry* findByAddress(const Address&) const;

    /// @return Whether the configuration names the service; true without a configuration.
    bool isKnownService(const ServiceName&) const;

private:
    void rebuildIndexes();

    const Clock& m_clock;
    BackendList m_backends;
    /// Instances missing from the last list, with the times at which their entries are removed.
    std::map<std::string, SteadyTime> m_missingEntryExpiry;
    SourceVersion m_operatorVersion;
    Revision m_configurationVersion;
    std::shared_ptr<const RouteTable> m_routes;
    /// Services that the configuration names, with a policy or as the target of a route.
    std::set<ServiceName> m_configuredServices;
    std::set<DataCentreName> m_evacuated;
    LeavingBackends m_leaving;

    // Indexes over m_backends, rebuilt with each change.
    std::map<Address, const BackendEntry*> m_newestByAddress;
    std::map<ServiceName, std::vector<const BackendEntry*>> m_usableByService;
};

}

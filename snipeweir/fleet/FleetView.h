#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/routes/RouteTable.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipeweir {

/// Registration of a backend server.
struct BackendEntry {
    /// Identifier of one incarnation of the backend server, new after each restart.
    std::string instance;
    ServiceName service;
    /// Address of the backend server. Its node has the same IP address.
    Address address;
    DataCentreName dataCentre;
    uint32_t slots = 1;
    bool isDraining = false;
    /// Start time by the server's own clock, in milliseconds since the Unix epoch; zero if not reported.
    uint64_t startedAtMs = 0;

    bool operator==(const BackendEntry&) const = default;
};

/// All registered backend servers at one revision of the source.
struct BackendList {
    Revision revision;
    std::vector<BackendEntry> entries;
};

/// Fleet configuration and evacuations set by the operators, at one revision of the source.
struct OperatorState {
    Revision revision;
    std::shared_ptr<const RouteConfiguration> configuration;
    std::set<DataCentreName> evacuated;
};

/// This node's view of the fleet: backend servers, current routes and data centres out of service. Ignores documents
/// with an older revision than the current one, so that the view never goes back. Not safe for concurrent use.
class FleetView {
public:
    /// Time for which missing entries are kept after an outage. Registrations that expired while the source was
    /// unavailable are renewed within about two seconds of its return.
    static constexpr std::chrono::milliseconds missingEntryGrace { 2200 };

    explicit FleetView(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// @param wasSourceUnavailable Whether the source was unavailable shortly before. Missing entries are then kept for
    /// missingEntryGrace.
    /// @return Whether the backend servers changed.
    bool updateBackends(BackendList, bool wasSourceUnavailable);

    /// @return Whether the routes or the evacuated data centres changed.
    bool updateOperatorState(const OperatorState&);

    /// Removes missing entries whose grace period is over.
    /// @return Whether an entry was removed.
    bool expireMissing();

    const std::vector<BackendEntry>& backends() const { return m_backends.entries; }
    Revision backendRevision() const { return m_backends.revision; }
    Revision operatorRevision() const { return m_operatorRevision; }
    std::shared_ptr<const RouteTable> routes() const { return m_routes; }
    bool isEvacuated(const DataCentreName& dataCentre) const { return m_evacuated.count(dataCentre) != 0; }
    const std::set<DataCentreName>& evacuated() const { return m_evacuated; }

    /// @return The backend servers of a service that may receive requests: the newest entry of each address, unless it
    /// is draining or in a data centre out of service. Valid until the next change of the view.
    const std::vector<const BackendEntry*>& usable(const ServiceName&) const;

    /// @return The newest entry with this address; null if there is none.
    const BackendEntry* findByAddress(const Address&) const;

private:
    void rebuildIndexes();

    const Clock& m_clock;
    BackendList m_backends;
    /// Instances missing from the last list, with the times at which their entries are removed.
    std::map<std::string, SteadyTime> m_missingEntryExpiry;
    Revision m_operatorRevision;
    Revision m_configurationVersion;
    std::shared_ptr<const RouteTable> m_routes;
    std::set<DataCentreName> m_evacuated;

    // Indexes over m_backends, rebuilt with each change.
    std::map<Address, const BackendEntry*> m_newestByAddress;
    std::map<ServiceName, std::vector<const BackendEntry*>> m_usableByService;
};

}

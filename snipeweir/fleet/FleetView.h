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

/// A backend server as it registered itself.
struct BackendEntry {
    /// Name of one start of the backend server.
    std::string instance;
    ServiceName service;
    /// Address of the backend server; its node has the same IP address.
    Address address;
    DataCentreName dataCentre;
    uint32_t slots = 1;
    bool isDraining = false;
    /// Start in milliseconds since the epoch, by the server's own clock; zero if it did not say.
    uint64_t startedAtMs = 0;

    bool operator==(const BackendEntry&) const = default;
};

/// All registered backend servers at one revision of the source.
struct BackendList {
    Revision revision;
    std::vector<BackendEntry> entries;
};

/// What the operators have written, at one revision of the source.
struct OperatorState {
    Revision revision;
    std::shared_ptr<const RouteConfiguration> configuration;
    std::set<DataCentreName> evacuated;
};

/// What this node believes of the fleet: backend servers, routes in force, data centres out of service. Takes lists
/// only in the order of their revisions, so that the view never goes back. Not safe for concurrent use.
class FleetView {
public:
    /// Entries that lapsed while the source was away are registered again within about two seconds of its return.
    static constexpr std::chrono::milliseconds missingEntryGrace { 2200 };

    explicit FleetView(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// @param isSourceTroubled Whether the source was out of order shortly before; entries that are missing are then
    /// kept for missingEntryGrace.
    /// @return Whether anything changed that decisions depend on.
    bool takeBackends(BackendList, bool isSourceTroubled);

    /// @return Whether anything changed.
    bool takeOperatorState(const OperatorState&);

    /// Drops the entries whose grace is over.
    /// @return Whether an entry was dropped.
    bool expireMissing();

    const std::vector<BackendEntry>& backends() const { return m_backends.entries; }
    Revision backendRevision() const { return m_backends.revision; }
    Revision operatorRevision() const { return m_operatorRevision; }
    std::shared_ptr<const RouteTable> routes() const { return m_routes; }
    bool isEvacuated(const DataCentreName& dataCentre) const { return m_evacuated.count(dataCentre) != 0; }
    const std::set<DataCentreName>& evacuated() const { return m_evacuated; }

    /// @return The backend servers of a service that may get requests: of each address the newest, neither draining nor
    /// in a data centre out of service. Valid until the next change of the view.
    const std::vector<const BackendEntry*>& usable(const ServiceName&) const;

    /// @return The newest entry with that address; null if there is none.
    const BackendEntry* findByAddress(const Address&) const;

private:
    void rebuildIndexes();

    const Clock& m_clock;
    BackendList m_backends;
    /// Instances that the last list lacked, with the time at which they are dropped.
    std::map<std::string, SteadyTime> m_missingUntil;
    Revision m_operatorRevision;
    Revision m_configurationVersion;
    std::shared_ptr<const RouteTable> m_routes;
    std::set<DataCentreName> m_evacuated;

    // Indexes over m_backends, rebuilt with each change.
    std::map<Address, const BackendEntry*> m_newest;
    std::map<ServiceName, std::vector<const BackendEntry*>> m_usable;
};

}

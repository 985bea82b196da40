#pragma once

#include "snipeweir/configuration/ConfigurationFault.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/core/Result.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace snipeweir {

/// One entry of the VM list.
struct VmRecord {
    VmId vm;
    DataCentreName dataCentre;
    RegionName region;
    ServiceName service;
    std::string ip;
    uint16_t publicPort = 0;
    uint16_t internalPort = 0;
    uint16_t controlPort = 0;
    bool isLeaving = false;

    bool operator==(const VmRecord&) const = default;
};

/// The platform's list of live and leaving VMs. It lags behind the actual state, so it is used only to add candidate
/// endpoints and to confirm that a VM is leaving. Immutable, so any thread may read it.
class VmList {
public:
    VmList(const VmList&) = delete;
    VmList& operator=(const VmList&) = delete;

    /// @param text JSON text of the document "vms" (docs/design.md, section 7).
    /// @return The list, or ErrorCode::InvalidDocument with one line for each fault.
    static Result<std::shared_ptr<const VmList>> parse(std::string_view text);

    /// @param text As for parse().
    /// @return All faults; empty if parse() would accept the text.
    static std::vector<ConfigurationFault> check(std::string_view text);

    Revision revision() const { return m_revision; }

    /// @return All VMs, ordered by name.
    const std::vector<VmRecord>& vms() const { return m_vms; }

    /// @return The entry of the VM; null if it is not listed.
    const VmRecord* find(const VmId&) const;

    /// @return The entries of the service, ordered by VM name; empty if the service is unknown. Valid for the lifetime
    ///     of this object.
    const std::vector<const VmRecord*>& vmsOf(const ServiceName&) const;

    /// @return Whether any VM is in the data centre.
    bool hasDataCentre(const DataCentreName&) const;

private:
    VmList() = default;
    static std::shared_ptr<const VmList> read(std::string_view text, FaultList& faults);

    Revision m_revision;
    std::vector<VmRecord> m_vms;
    std::map<ServiceName, std::vector<const VmRecord*>> m_byService;
};

}

#pragma once

#include "snipeweir/configuration/ConfigurationFault.h"
#include "snipeweir/configuration/Policy.h"
#include "snipeweir/configuration/PolicyKeys.h"
#include "snipeweir/configuration/VmList.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/core/Result.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipeweir {

/// Where a value in force comes from.
enum class ValueOrigin {
    BuiltIn,
    Defaults,
    Exception,
};

/// One value in force and where it comes from.
struct EffectiveValue {
    const PolicyKey* key = nullptr;
    /// In the unit of the key.
    uint32_t value = 0;
    ValueOrigin origin = ValueOrigin::BuiltIn;
    /// JSON path of the origin in the document; empty for a built-in value.
    std::string path;
    /// Reason that the document gives for the exception; empty for other origins.
    std::string reason;
};

/// What an exception applies to. An empty name matches all names.
struct ExceptionMatch {
    ServiceName service;
    DataCentreName dataCentre;
    VmId vm;

    /// @return Text such as "service fichas in data centre mvd-a".
    std::string text() const;

    // False positive: the check reports the comparison with 0 that the compiler generates.
    auto operator<=>(const ExceptionMatch&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Values that replace the defaults for the VMs of one match.
struct PolicyException {
    ExceptionMatch match;
    std::vector<std::pair<const PolicyKey*, uint32_t>> values;
    std::string reason;
};

/// Administrative state of a data centre or VM: whether operators let it receive calls, and why.
struct AdminState {
    bool isInService = true;
    std::string reason;

    bool operator==(const AdminState&) const = default;
};

/// Defaults, exceptions and administrative states that the operators publish. Accepted as a whole or not at all.
/// Immutable, so any thread may read it.
class FleetConfiguration {
public:
    /// @param text JSON text of the document "configuration" (docs/design.md, section 7).
    /// @param vmList VM list against which names are checked, or null. Nodes pass null: the delay of the VM list
    ///     differs between nodes, but all nodes must accept the same revisions.
    /// @return The configuration, or ErrorCode::InvalidDocument with one line for each fault.
    static Result<std::shared_ptr<const FleetConfiguration>> parse(
        std::string_view text, const VmList* vmList = nullptr);

    /// @param text As for parse().
    /// @param vmList As for parse().
    /// @return All faults; empty if parse() would accept the text.
    static std::vector<ConfigurationFault> check(std::string_view text, const VmList* vmList = nullptr);

    Revision revision() const { return m_revision; }

    /// @return The settings in force for the service on the VM. For an empty name, exceptions that match on that name
    ///     do not apply.
    Policy policyFor(const ServiceName&, const DataCentreName&, const VmId&) const;

    /// @return Every value of policyFor() with its origin, in the order of policyKeys().
    std::vector<EffectiveValue> explain(const ServiceName&, const DataCentreName&, const VmId&) const;

    /// @return Whether the data centre is in service according to the operators; true if the document does not name it.
    bool isDataCentreInService(const DataCentreName&) const;

    /// @return Whether the VM is in service according to the operators; true if the document does not name it.
    bool isVmInService(const VmId&) const;

    /// @return The exceptions in the order of the document.
    const std::vector<PolicyException>& exceptions() const { return m_exceptions; }

    const std::map<DataCentreName, AdminState>& dataCentres() const { return m_dataCentres; }
    const std::map<VmId, AdminState>& vms() const { return m_vms; }

private:
    FleetConfiguration() = default;
    static std::shared_ptr<const FleetConfiguration> read(
        std::string_view text, const VmList* vmList, FaultList& faults);

    template <typename Visitor>
    void visitMatching(const ServiceName&, const DataCentreName&, const VmId&, Visitor&&) const;

    Revision m_revision;
    Policy m_defaults;
    /// Keys that the document sets under "defaults".
    std::vector<const PolicyKey*> m_setDefaults;
    std::vector<PolicyException> m_exceptions;
    /// Indices into m_exceptions.
    std::map<ExceptionMatch, std::vector<size_t>> m_byMatch;
    std::map<DataCentreName, AdminState> m_dataCentres;
    std::map<VmId, AdminState> m_vms;
};

}

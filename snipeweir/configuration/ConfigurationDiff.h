#pragma once

#include "snipeweir/configuration/FleetConfiguration.h"

#include <optional>
#include <string>
#include <vector>

namespace snipeweir {

/// One difference between two fleet configurations.
struct ConfigurationChange {
    /// "everywhere", the target of an exception, or a data centre or VM.
    std::string target;
    /// Name of a key, "in_service" or "reason".
    std::string key;
    std::string before;
    std::string after;
    /// Number of VMs whose value in force changes and is set by this target before or after the change; for
    /// "in_service", the number of VMs in the target. Empty for "reason" or if no VM list was given.
    std::optional<size_t> affectedVmCount;

    bool operator==(const ConfigurationChange&) const = default;
};

/// Compares two documents target by target. The order of exceptions in the documents makes no difference.
/// @param before Older document.
/// @param after Newer document.
/// @param vmList VM list for counting the VMs that a change affects, or null.
/// @return All differences: defaults, then exceptions, data centres and VMs.
std::vector<ConfigurationChange> compareConfigurations(
    const FleetConfiguration& before, const FleetConfiguration& after, const VmList* vmList);

}

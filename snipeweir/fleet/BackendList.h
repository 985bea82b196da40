#pragma once

#include "snipeweir/fleet/BackendEntry.h"
#include "snipeweir/fleet/SkippedEntries.h"
#include "snipeweir/fleet/SourceVersion.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipeweir {

/// All registered backend servers at one version of the source.
struct BackendList {
    SourceVersion version;
    std::vector<BackendEntry> entries;
    std::vector<SkippedEntry> skipped = {};
    /// Instances that are missing from the entries because they were removed, not because the source was unavailable.
    std::set<std::string> removed = {};
};

/// Result of decoding the item of a backend server.
struct DecodedBackend {
    /// Empty if the item names no backend server.
    std::optional<BackendEntry> entry;
    /// Why the item names no backend server.
    std::string fault;
};

}

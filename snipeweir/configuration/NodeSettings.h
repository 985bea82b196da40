#pragma once

#include "snipeweir/configuration/ConfigurationFault.h"
#include "snipeweir/core/ControlKey.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/core/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace snipeweir {

/// Settings of one node process, read once at start from its settings file (docs/design.md, section 7).
struct NodeSettings {
    VmId vm;
    DataCentreName dataCentre;
    RegionName region;
    ServiceName service;
    std::string ip;
    uint16_t publicPort = 0;
    uint16_t internalPort = 0;
    uint16_t controlPort = 0;
    uint16_t backendPort = 0;
    std::vector<Address> platformAddresses;
    std::vector<Address> seedAddresses;
    std::vector<ControlKey> controlKeys;
    std::string logLevel = "info";
    std::vector<ServiceName> calledServices;

    /// @param text JSON text of the settings file.
    /// @return The settings, or ErrorCode::InvalidDocument with one line for each fault. No message contains a secret.
    static Result<NodeSettings> parse(std::string_view text);

    /// @param path Settings file.
    /// @return As parse(), with the path at the start of each line; ErrorCode::NotFound if it cannot be read.
    static Result<NodeSettings> load(const std::string& path);

    /// @param text As for parse().
    /// @return All faults; empty if parse() would accept the text.
    static std::vector<ConfigurationFault> check(std::string_view text);
};

}

#pragma once

#include "snipeweir/core/Identity.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeweir {

/// Settings of one relay node, as its deployment gives them.
struct RelaySettings {
    VmId vm;
    DataCentreName dataCentre;
    /// Service of the backend server beside this node, and its address.
    ServiceName service;
    Address backend;
    /// Where callers on this VM connect.
    Address callers;
    /// Where other nodes connect. The port is the same on all VMs.
    Address peers;
    /// Where readiness is asked for.
    Address readiness;
    /// Port of the load queries between nodes, the same on all VMs.
    uint16_t queryPort = 0;
    /// IP addresses of nodes that a starting node asks for the fleet's documents; some may be down.
    std::vector<std::string> seeds;
    /// Port of the metrics page.
    uint16_t metricsPort = 9102;
    /// Second sends allowed for each hundred requests, over all nodes.
    uint32_t repeatPercent = 20;
    /// Second sends allowed beyond that in ten seconds, over all nodes.
    uint32_t repeatExtra = 60;
    /// Requests that a cold backend server may get in any one second: a multiple of what it bears, and some more.
    double coldFactor = 1.5;
    double coldExtra = 5;
    /// Time from the stop signal until the process is killed.
    std::chrono::milliseconds stopGrace { 6000 };
};

}

#pragma once

#include "snipeweir/core/Identity.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeweir {

/// Settings of one relay node, read from its deployment's settings file.
struct RelaySettings {
    VmId vm;
    DataCentreName dataCentre;
    /// Service of the backend server beside this node, and its address.
    ServiceName service;
    Address backendAddress;
    /// Address on which the node listens for callers on this VM.
    Address callersAddress;
    /// Address on which the node listens for other nodes. The port is the same on all VMs.
    Address peersAddress;
    /// Address on which the node listens for readiness checks.
    Address readinessAddress;
    /// UDP port of load queries and announcements between nodes, the same on all VMs.
    uint16_t queryPort = 0;
    /// IP addresses of the nodes to which a starting node subscribes to get the fleet's documents; some may be down.
    std::vector<std::string> seeds;
    /// Port of the metrics endpoint, on the IP address of the readiness checks.
    uint16_t metricsPort = 9102;
    /// Retry budget of the fleet: retries and hedges per hundred requests.
    uint32_t retryBudgetPercent = 20;
    /// Retry budget of the fleet: retries and hedges beyond that percentage in ten seconds.
    uint32_t retryBudgetExtra = 60;
    /// Requests that a cold backend server may get in any one second: coldFactor times the rate that operators
    /// configure for its service, plus coldExtra.
    double coldFactor = 1.5;
    double coldExtra = 5;
    /// Quotas: in any window, no more than (rate x quotaWindow + burst) x (1 + quotaOverage) + quotaSlack requests of
    /// an organisation run.
    std::chrono::milliseconds quotaWindow { 5000 };
    double quotaOverage = 0.25;
    double quotaSlack = 20;
    /// Time from SIGTERM until the platform kills the process.
    std::chrono::milliseconds stopGrace { 6000 };
};

}

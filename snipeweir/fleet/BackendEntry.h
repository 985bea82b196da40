#pragma once

#include "snipeweir/core/Identity.h"

#include <compare>
#include <cstdint>
#include <string>

namespace snipeweir {

/// One run of a backend server, which may start anew under the same instance.
struct BackendIncarnation {
    std::string instance;
    /// Start time by the server's own clock, in milliseconds since the Unix epoch; zero if not reported.
    uint64_t startedAtMs = 0;

    auto operator<=>(const BackendIncarnation&) const = default;
};

/// Registration of a backend server.
struct BackendEntry {
    /// Identifier of the backend server, mostly new after each restart.
    std::string instance;
    ServiceName service;
    /// Address of the backend server. Its node has the same IP address.
    Address address;
    DataCentreName dataCentre;
    uint32_t slots = 1;
    bool isDraining = false;
    /// Start time by the server's own clock, in milliseconds since the Unix epoch; zero if not reported.
    uint64_t startedAtMs = 0;
    /// Increases with each write of the entry by its backend server.
    uint64_t sequence = 0;

    BackendIncarnation incarnation() const { return { instance, startedAtMs }; }

    /// @return Whether the entries say the same of the backend server, whatever their sequence numbers.
    bool isSameRegistration(const BackendEntry& other) const
    {
        return instance == other.instance && service == other.service && address == other.address
            && dataCentre == other.dataCentre && slots == other.slots && isDraining == other.isDraining
            && startedAtMs == other.startedAtMs;
    }
};

}

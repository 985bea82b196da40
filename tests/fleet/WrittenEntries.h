#pragma once

#include "snipeweir/fleet/BackendRegistry.h"

#include <sstream>
#include <string>

namespace snipeweir {

/// What a backend server writes to the source, in an encoding for tests.
struct Written {
    std::string ip;
    uint64_t startedAtMs = 0;
    uint64_t sequence = 0;
    std::string state = "ready";
    std::string service = "scans";
};

inline std::string text(const Written& written)
{
    std::ostringstream stream;
    stream << written.ip << " " << written.startedAtMs << " " << written.sequence << " " << written.state << " "
           << written.service;
    return stream.str();
}

inline DecodedBackend decode(const SourceItem& item)
{
    std::istringstream stream(item.value);
    BackendEntry entry;
    std::string state;
    std::string service;
    stream >> entry.address.ip >> entry.startedAtMs >> entry.sequence >> state >> service;
    if (!stream)
        return { std::nullopt, "malformed" };
    entry.instance = item.key;
    entry.service = ServiceName(service);
    entry.isDraining = state == "draining";
    return { entry, {} };
}

}

#pragma once

#include <cstdint>
#include <string>

namespace snipeweir {

/// Key that authenticates datagrams between nodes. The first key in the settings signs; every key verifies.
struct ControlKey {
    /// Sent in each datagram; tells the receiver which key to verify with.
    uint8_t id = 0;
    /// 32 to 64 bytes: a full-strength key for BLAKE2b, which takes at most 64 bytes.
    std::string secret;

    bool operator==(const ControlKey&) const = default;
};

}

#pragma once

#include "snipeweir/core/Identity.h"

#include <cstdint>
#include <functional>
#include <string>

namespace snipeweir {

/// Type of a datagram between nodes. The values are sent on the wire.
enum class ControlMessageType : uint8_t {
    Ping = 1,
    PingAck = 2,
    PingRequest = 3,
    Rumours = 4,
    DataCentreDigest = 5,
    DataCentreDifference = 6,
    Join = 7,
    JoinReply = 8,
    DocumentPush = 20,
    DocumentPull = 21,
    DocumentChunk = 22,
    DocumentRevisions = 23,
    LoadProbe = 40,
    LoadProbeReply = 41,
};

/// Largest datagram with envelope and MAC, in bytes. Below the usual MTU, so that IP does not fragment it.
constexpr size_t maxDatagramBytes = 1200;

/// Largest payload of a datagram, in bytes. The remaining bytes are for envelope and MAC.
constexpr size_t maxPayloadBytes = 1080;

/// One message between nodes, without its envelope.
struct ControlMessage {
    ControlMessageType type = ControlMessageType::Ping;
    VmId sender;
    Incarnation senderIncarnation;
    std::string payload;
};

/// Sends a message to the control port at an address. Never blocks; delivery is not guaranteed.
using ControlSender = std::function<void(const Address& to, ControlMessageType type, std::string payload)>;

}

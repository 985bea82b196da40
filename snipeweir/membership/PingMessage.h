#pragma once

#include "snipeweir/membership/MemberRecord.h"

namespace snipeweir {

/// Payload of a ping and of its ack.
struct PingMessage {
    uint64_t nonce = 0;
    uint32_t targetHash = 0; ///< Hash of the target's VM name in a ping, of the sender's in an ack.
    bool isSenderUnknown = false; ///< The sender of the ack does not know the pinging node and requests its record.
    bool isRelayed = false; ///< The ack is sent on behalf of the target.
    uint32_t localHash = 0; ///< Hash of the sender's view of its own data centre.
    uint32_t remoteHash = 0; ///< Hash of the sender's view of the other data centres.
    std::string attachment;

    /// @param rumours Encoded rumour lists, appended unchanged.
    std::string encoded(std::string_view rumours) const;

    /// Reads all but the rumours, which follow in the reader.
    /// @param maxAttachmentBytes Largest attachment accepted.
    static std::optional<PingMessage> decode(CborReader&, size_t maxAttachmentBytes);
};

/// @return Hash of a VM name for PingMessage.
uint32_t targetHashOf(const VmId&);

}

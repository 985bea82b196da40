#pragma once

#include "snipeweir/membership/MemberRecord.h"

namespace snipeweir {

/// Payload of a ping and of its answer.
struct PingMessage {
    uint64_t nonce = 0;
    uint32_t targetHash = 0; ///< Hash of the target's VM name in a ping, of the sender's in an answer.
    bool isSenderUnknown = false; ///< The answering node does not know the pinging one and asks for its record.
    bool isRelayed = false; ///< The answer is given on behalf of the target.
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

#pragma once

#include "snipeweir/placing/NodeLoad.h"

#include <optional>
#include <string>
#include <string_view>

namespace snipeweir {

/// State of one document at a node that announces it.
struct DocumentMark {
    /// Revision of the source at which the document was read.
    uint64_t revision = 0;
    /// Hash of what decisions depend on; equal marks need no transfer.
    uint64_t digest = 0;
};

/// A datagram between nodes.
struct PeerMessage {
    enum class Kind : uint8_t {
        LoadQuery = 1,
        LoadReply = 2,
        Announcement = 3,
    };

    Kind kind = Kind::LoadQuery;
    /// Echoed in the reply to a query.
    uint64_t nonce = 0;
    NodeLoad load;
    DocumentMark backends;
    DocumentMark operators;
    /// Age of the sender's view of the backend servers.
    std::chrono::milliseconds age { 0 };

    std::string encode() const;

    /// @return The message; empty if the bytes are none.
    static std::optional<PeerMessage> decode(std::string_view bytes);
};

}

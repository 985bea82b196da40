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
        /// Asks for announcements: the sender's backend server is not registered, so that nobody knows of the node.
        Subscription = 4,
    };

    Kind kind = Kind::LoadQuery;
    /// Echoed in the reply to a query.
    uint64_t nonce = 0;
    NodeLoad load;
    DocumentMark backends;
    DocumentMark operators;
    /// Age of the announcer's view of the backend servers.
    std::chrono::milliseconds age { 0 };

    // Way of an announcement through the fleet.
    /// IP address of the node that has the documents.
    std::string announcer;
    /// Random number of the announcer's process, and position among its announcements: one that was held up by a
    /// suspended node is older than what came another way.
    uint64_t run = 0;
    uint64_t sequence = 0;
    /// Tree along which it is passed on, and how many times it still may be.
    uint32_t tree = 0;
    uint32_t hopsLeft = 0;

    std::string encode() const;

    /// @return The message; empty if the bytes are none.
    static std::optional<PeerMessage> decode(std::string_view bytes);
};

}

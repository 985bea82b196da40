#pragma once

#include "snipeweir/fleet/SourceContinuity.h"
#include "snipeweir/fleet/SourceVersion.h"
#include "snipeweir/organisations/QuotaMessage.h"
#include "snipeweir/placing/NodeLoad.h"

#include <optional>
#include <string>
#include <string_view>

namespace snipeweir {

/// Version of one of the fleet's documents at a node.
struct SourceDocumentVersion {
    /// Version of the source when the document was read.
    SourceVersion version;
    /// Hash of the content that affects decisions. A node with the same digest need not fetch the document.
    uint64_t digest = 0;
};

/// Datagram sent between nodes, encoded as a CBOR sequence.
struct PeerMessage {
    enum class Kind : uint8_t {
        LoadQuery = 1,
        LoadReply = 2,
        Announcement = 3,
        /// Requests announcements. Sent while the sender's backend server is not registered, since other nodes don't
        /// know of the sender then.
        Subscription = 4,
        /// Asks for tokens of an organisation's quota. Nodes of versions without quotas drop it.
        QuotaRequest = 5,
        /// Reply to a quota request.
        QuotaGrant = 6,
        /// Says that the source had the announcer's version of the operators' document. A kind of its own, because
        /// nodes of earlier versions drop announcements with further fields.
        Confirmation = 7,
        /// Asks when the receiver could read the source. Sent after a gap in the sender's own view.
        ContinuityQuery = 8,
        ContinuityReply = 9,
    };

    Kind kind = Kind::LoadQuery;
    /// Identifies a query; copied into the reply.
    uint64_t nonce = 0;
    NodeLoad load;
    SourceContinuity continuity;
    SourceDocumentVersion backends;
    SourceDocumentVersion operators;
    /// Time since the announcer's view of the backend servers was last known to be up to date; in a confirmation, since
    /// its operators' document was.
    std::chrono::milliseconds age { 0 };

    /// Content of quota requests and grants.
    QuotaMessage quota;

    // Fields of announcements.
    /// Version of the configuration in force at the announcer, and the time since the era of the source began if it
    /// knows what was before. Only sent if the source has eras; nodes of earlier versions drop such announcements.
    Revision configuration;
    std::optional<std::chrono::milliseconds> eraAge;
    /// IP address of the node that sent the announcement first and holds the documents.
    std::string announcer;
    /// Incarnation of the announcer, a random number for each run of its process, and sequence number of the
    /// announcement in that incarnation. Detects outdated announcements: one forwarded by a node that was suspended may
    /// arrive after a newer one.
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    /// Index of the tree along which the announcement is forwarded, and the number of hops left.
    uint32_t tree = 0;
    uint32_t hopsLeft = 0;

    std::string encode() const;

    /// @return The message; empty if the bytes are malformed.
    static std::optional<PeerMessage> decode(std::string_view bytes);
};

}

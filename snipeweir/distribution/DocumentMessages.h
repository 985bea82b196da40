#pragma once

#include "snipeweir/core/ControlMessage.h"
#include "snipeweir/distribution/DocumentStore.h"

#include <array>
#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

namespace snipeweir {

/// Frame bytes per datagram. Leaves 120 bytes of maxPayloadBytes for the header fields of a chunk.
constexpr size_t documentChunkBytes = maxPayloadBytes - 120;

/// Identifies the content of a document by its revision and the hash of its text. Revision zero means none.
struct DocumentVersion {
    Revision revision;
    uint64_t hash = 0;
    bool operator==(const DocumentVersion&) const = default;
};

inline DocumentVersion versionOf(const Document& document) { return { document.revision, document.hash }; }

/// Versions that a node has in force. Piggybacked on pings as the attachment and part of DocumentRevisions messages.
struct RevisionSummary {
    std::array<DocumentVersion, documentCount> versions;
    std::optional<std::chrono::milliseconds> platformContactAge; ///< Time since any reader last reached the platform.
    bool isCaughtUp = false;
    std::string encode() const;
    static std::optional<RevisionSummary> decode(std::string_view);
};

/// Body of a DocumentRevisions message. The round ID matches a reply to its query, so that stale replies left in the
/// socket buffer of a paused process are not counted as fresh.
struct RevisionExchange {
    RevisionSummary summary;
    uint64_t roundId = 0; ///< Zero outside of catch-up rounds.
    bool wantsReply = false;
    std::string encode() const;
    static std::optional<RevisionExchange> decode(std::string_view);
};

/// Describes a zstd frame that produces the target from the base. A base of revision zero means a full text.
struct FrameHeader {
    DocumentName name = DocumentName::Configuration;
    DocumentVersion target;
    DocumentVersion base;
    uint64_t textBytes = 0;
    uint64_t frameBytes = 0;
    uint64_t frameHash = 0;
    bool operator==(const FrameHeader&) const = default;
};

/// Body of DocumentPush (the whole frame, or no bytes if the frame is larger than a chunk) and of DocumentChunk.
struct FramePart {
    FrameHeader header;
    uint64_t index = 0;
    std::string_view bytes; ///< View into the decoded message.
    std::string encode() const;
    static std::optional<FramePart> decode(std::string_view);
};

/// Range of chunk indexes.
struct ChunkRange {
    uint64_t first = 0;
    uint64_t count = 0;
};

/// Body of DocumentPull: requests chunks of the frame that produces the wanted version from the held one.
struct DocumentPull {
    static constexpr size_t maxRanges = 16;

    DocumentName name = DocumentName::Configuration;
    DocumentVersion wanted;
    DocumentVersion held;
    std::vector<ChunkRange> ranges;
    std::string encode() const;
    static std::optional<DocumentPull> decode(std::string_view);
};

}

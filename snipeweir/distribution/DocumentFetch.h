#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/distribution/DocumentMessages.h"

#include <string>
#include <vector>

namespace snipeweir {

/// A fetch of one document version in progress: the frame being reassembled, the peers that hold the version, and
/// the time of the last progress. The largest allowed frame bounds its memory. Owned by the control thread.
class DocumentFetch {
public:
    /// Maximum number of peers kept as sources of the wanted version.
    static constexpr size_t maxSources = 8;

    /// Maximum number of chunks requested at a time.
    static constexpr uint64_t windowChunks = 32;

    /// @param name Document to fetch.
    /// @param wanted Version to fetch.
    /// @param now Current time.
    DocumentFetch(DocumentName name, DocumentVersion wanted, SteadyTime now);

    const DocumentVersion& wanted() const { return m_wanted; }
    SteadyTime lastProgressAt() const { return m_lastProgressAt; }
    int failures() const { return m_failures; }
    bool hasChunks() const { return m_receivedCount > 0; }

    /// Adds a peer that holds the wanted version. Ignored if it is already known or the list is full.
    void addSource(const Address&);

    /// @return The peer to send the next request to. At least one source must have been added.
    const Address& source() const { return m_sources[m_sourceIndex]; }

    /// @param header Header of a received chunk's frame.
    /// @return Whether the frame produces the wanted version and its sizes are within the limits.
    bool accepts(const FrameHeader& header) const;

    /// Stores a chunk. A chunk of another frame discards the frame in progress, but only after two
    /// consecutive attempts without progress.
    /// @return Whether the chunk was new.
    bool addChunk(const FramePart& part, SteadyTime now);

    /// @return Whether every chunk of the frame has arrived.
    bool isComplete() const { return !m_received.empty() && m_receivedCount == m_received.size(); }

    /// @return Whether every requested chunk has arrived or is presumed lost, and more are needed.
    bool needsNextWindow() const { return !isComplete() && m_outstandingCount == 0; }

    /// Marks the next window of missing chunks as outstanding.
    /// @return The chunks to request, as ranges.
    std::vector<ChunkRange> nextRanges();

    /// Counts an attempt without progress. The first retry goes to the same source, since a single datagram may have
    /// been lost; from the second consecutive failure on, each retry goes to the next source, which may have a
    /// different frame for the same version.
    void recordFailure(SteadyTime now);

    const FrameHeader& header() const { return m_header; }
    const std::string& frame() const { return m_frame; }

private:
    DocumentName m_name;
    DocumentVersion m_wanted;
    std::vector<Address> m_sources;
    size_t m_sourceIndex = 0;
    SteadyTime m_lastProgressAt;
    int m_failures = 0;
    FrameHeader m_header;
    std::string m_frame;
    std::vector<bool> m_received;
    size_t m_receivedCount = 0;
    size_t m_outstandingCount = 0;
    uint64_t m_lastRequestedIndex = 0;
    bool m_mayReplaceFrame = true;
};

}

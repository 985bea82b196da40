#pragma once

#include "snipeweir/core/PeerDirectory.h"
#include "snipeweir/core/Result.h"
#include "snipeweir/distribution/Distributor.h"

namespace snipeweir {

/// Settings of the reader selection.
struct ReaderSelectionSettings {
    size_t readersPerDataCentreCount = 3;
    std::chrono::milliseconds settleTime { 2000 }; ///< Time after the start until the member view is complete.
    std::chrono::milliseconds readerTimeout {
        30'000
    }; ///< Time without a known platform contact; three watches of 10 s.
    std::chrono::milliseconds initialReaderTimeout { 1000 }; ///< The same for a node that lacks a document.
};

/// This node's role in reading documents from the platform.
enum class ReaderRole : uint8_t {
    None, ///< Does not read the platform.
    Reader, ///< Keeps a long-polling watch on each document.
    FallbackReader, ///< Knows of no recent platform contact of a reader, so it makes reads of its own.
};

/// Selects the readers of a data centre, the nodes that watch the platform, by rendezvous hashing over its live
/// members. Needs no election. Owned by the control thread.
class ReaderSelection {
public:
    /// @param settings Number of readers and times.
    /// @param peers Live members; outlives the selection.
    /// @param distributor Provides the time since the last platform contact; outlives the selection.
    /// @param store Documents of this node; outlives the selection.
    /// @param clock Source of time; outlives the selection.
    /// @return The selection, or ErrorCode::InvalidArgument.
    static Result<std::unique_ptr<ReaderSelection>> create(ReaderSelectionSettings settings, const PeerDirectory& peers,
        const Distributor& distributor, const DocumentStore& store, const Clock& clock);

    /// @return Readers of this data centre in this node's view, highest score first.
    std::vector<VmId> readers() const;

    /// @return The current role of this node.
    ReaderRole role() const;

    size_t readersPerDataCentre() const { return m_settings.readersPerDataCentreCount; }

    /// @return Number of live members of this data centre in this node's view, including itself.
    size_t localMemberCount() const { return m_peers.localPeers().size() + 1; }

private:
    ReaderSelection(
        ReaderSelectionSettings, const PeerDirectory&, const Distributor&, const DocumentStore&, const Clock&);

    const ReaderSelectionSettings m_settings;
    const PeerDirectory& m_peers;
    const Distributor& m_distributor;
    const DocumentStore& m_store;
    const Clock& m_clock;
    const SteadyTime m_startedAt;
};

}

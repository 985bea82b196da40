#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/fleet/SourceContinuity.h"

#include <optional>

namespace snipeweir {

/// Decides whether the source was unavailable, so that entries that expired meanwhile are kept for a while. A gap in
/// the view of this node alone does not tell: the node may have been partitioned off while others read the source. The
/// source can only have been unavailable in the part of the gap that all nodes have in common. Performs no I/O. Not
/// safe for concurrent use.
class OutageTracker {
public:
    /// Minimum gap between updates of the view that counts as an outage: the source drops the entry of a backend server
    /// only after several seconds without a heartbeat, so no entry expires in a shorter gap.
    static constexpr std::chrono::milliseconds minOutage { 2500 };

    /// Records that the view was current at a time, according to a read by this node or another one.
    /// @return Whether a gap has ended with it.
    bool onViewCurrent(SteadyTime asOf);

    /// Limits the last gap of this node to the one of another node.
    /// @param requestedAt, receivedAt Times between which the other node sent its state.
    /// @return Whether the outage became shorter or turned out to be none.
    bool onContinuity(const SourceContinuity&, SteadyTime requestedAt, SteadyTime receivedAt);

    /// @return What this node knows, for other nodes.
    SourceContinuity continuity(SteadyTime now) const;

    /// @return Whether the last gap counts as an outage of the source.
    bool hasOutage() const { return m_gap.has_value(); }

    /// @return End of the last outage; the epoch if there was none.
    SteadyTime outageEnd() const { return m_gap ? m_gap->end : SteadyTime {}; }

private:
    struct Gap {
        SteadyTime start;
        SteadyTime end;
    };

    /// Time at which the view was current for the first time; the epoch before.
    SteadyTime m_knownSince {};
    SteadyTime m_lastCurrentAt {};
    std::optional<Gap> m_gap;
};

}

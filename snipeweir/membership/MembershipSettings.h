#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace snipeweir {

/// Protocol constants of membership. All nodes of a fleet use the same values.
struct MembershipSettings {
    std::chrono::milliseconds pingInterval { 1000 }; ///< Time between two pings of a node.
    std::chrono::milliseconds directPingTimeout { 300 }; ///< Time without an ack until indirect pings.
    std::chrono::milliseconds pingTimeout { 900 }; ///< Time without an ack after which the member is suspected.
    std::chrono::milliseconds suspicionTimeout { 3000 }; ///< Time after which a suspected member is declared dead.
    uint32_t indirectPingsCount = 3; ///< Members asked to ping on the node's behalf.
    uint32_t degradedTimeoutFactor = 3; ///< Factor on timeouts while the node is degraded (LocalHealth).
    std::chrono::milliseconds degradedTimeAfterPause { 5000 }; ///< How long a node is degraded after a pause.
    std::chrono::milliseconds maxTickGap { 1000 }; ///< A longer gap between ticks counts as a pause.
    std::chrono::milliseconds maxDegradedTimeByIsolation { 600'000 }; ///< Bound while most members are silent.
    uint32_t pushFanoutCount = 4; ///< Members that a new rumour is pushed to at once.
    uint32_t leaveFanoutCount = 8; ///< Members that a leaving node pushes its leave to.
    size_t pushBytesPerSecond = 4096; ///< For rumours pushed at once; beyond it rumours are only piggybacked on pings.
    size_t pushBurstBytes = 16'384;
    size_t syncBytesPerSecond = 4096; ///< For member records sent to repair differences.
    size_t syncBurstBytes = 16'384;
    std::chrono::milliseconds syncInterval { 500 }; ///< Minimum time between two repairs that a node starts.
    uint32_t bridgesCount = 3; ///< Number of bridges of each data centre.
    std::chrono::milliseconds bridgeInterval { 1000 }; ///< Time between two digests of a bridge.
    std::chrono::milliseconds bridgeTimeout { 1000 }; ///< Time after which a digest counts as unanswered.
    uint32_t linkLossFailuresCount = 4; ///< Unanswered digests in a row that make a link lost.
    std::chrono::milliseconds joinInterval { 1000 }; ///< Time between two attempts to join.
    std::chrono::milliseconds tombstoneLifetime { 600'000 }; ///< How long a dead member is remembered.
    size_t maxTombstonesCount = 1024;
    size_t maxMembersCount = 16'384;
    size_t maxAttachmentBytes = 64;
    double flapSuppressThreshold = 3; ///< Penalty that marks a member as flapping; each return from death adds 1.
    double flapReuseThreshold = 1; ///< Penalty below which a flapping member counts as stable again.
    std::chrono::milliseconds flapHalfLife { 60'000 }; ///< Time in which the penalty halves.
    std::chrono::milliseconds ownEvidenceLifetime { 10'000 }; ///< Age at which evidence from own calls expires.
};

}

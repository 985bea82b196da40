#pragma once

#include "snipeweir/core/PeerDirectory.h"
#include "snipeweir/core/Random.h"
#include "snipeweir/core/TokenBucket.h"
#include "snipeweir/distribution/CatchUp.h"
#include "snipeweir/distribution/DocumentFetch.h"
#include "snipeweir/distribution/FrameCache.h"

#include <deque>

namespace snipeweir {

/// Settings of the distribution of documents between nodes.
struct DistributorSettings {
    size_t fanoutCount = 4; ///< Peers that a node pushes a new revision to.
    size_t announceFanoutCount = 3; ///< Peers sent the revisions after a push, to reach nodes that it missed.
    std::chrono::milliseconds announceDelay { 250 }; ///< Time between a push and the announcement of revisions.
    std::chrono::milliseconds retryDelay { 300 }; ///< Time without progress until a retry; above two inter-region RTTs.
    int maxFetchFailuresCount = 10; ///< Attempts without progress; more end the fetch until the next advertisement.
    std::chrono::milliseconds bridgeInterval { 1000 }; ///< Mean interval between exchanges with a remote bridge.
    double serveBytesPerSecond = 6000; ///< Sustained rate of serving frames; two thirds of the 9 KB/s budget.
    double serveBurstBytes = 4'500'000; ///< Burst: a full text of 1 MB to each of the four peers of a push.
    size_t compressionsPerSecondCount = 4; ///< Per document, at most. Limits CPU time.
    std::chrono::milliseconds peerReplyTimeout { 2000 }; ///< Time to wait for replies before catching up without them.
    std::chrono::milliseconds replySettleTime { 200 }; ///< Time to wait for further replies after the first one.
    double repliesPerSecond = 20; ///< DocumentRevisions messages sent in reply to peers, at most.
};

/// Counters of a distributor.
struct DistributorCounters {
    uint64_t pushesSent = 0;
    uint64_t pullsSent = 0;
    uint64_t chunksSent = 0;
    uint64_t duplicatesReceived = 0;
    uint64_t malformedReceived = 0;
    uint64_t servesRateLimited = 0; ///< Chunks or frames not sent because of a rate limit.
    uint64_t fetchesAbandoned = 0;
    uint64_t framesRefused = 0; ///< Frames rejected as corrupt.
};

/// Distributes document revisions between nodes. A node pushes a new revision to random peers (epidemic push) and
/// pulls a newer revision that a peer advertises, in a ping attachment for example. Frames are deltas where the
/// receiver holds a usable base. Other data centres are reached through bridges. All sizes, rates and retries are
/// bounded. State machine without I/O, owned by the control thread.
class Distributor {
public:
    /// @param settings Fan-out, delays and limits.
    /// @param store Documents of this node; outlives the distributor.
    /// @param peers Live members; outlives the distributor.
    /// @param clock Source of time; outlives the distributor.
    /// @param seed Seed for the random selection of peers.
    /// @param send Sends a datagram.
    /// @return The distributor, or ErrorCode::InvalidArgument for settings out of range.
    static Result<std::unique_ptr<Distributor>> create(DistributorSettings settings, DocumentStore& store,
        const PeerDirectory& peers, const Clock& clock, uint64_t seed, ControlSender send);

    /// Runs due work: pushes, announcements, retries, exchanges between bridges and queries to peers. Call it every 20
    /// to 100 ms.
    void tick();

    /// Handles DocumentPush, DocumentPull, DocumentChunk and DocumentRevisions; ignores other types.
    void receive(const Address& from, const ControlMessage&);

    /// @return This node's revision summary, encoded for pings and their acks; about 30 bytes.
    std::string pingAttachment() const;

    /// Handles the attachment of a received ping or ack.
    void onPingAttachment(const Peer& from, std::string_view attachment);

    /// Offers the store a revision that this node read from the platform, and pushes it if it is accepted.
    OfferResult onPublished(DocumentName, Revision, std::string text);

    /// Records that this node has just reached the platform.
    void onPlatformContact();

    /// @return Time since any node last reached the platform, as far as this node knows from its own contacts and from
    /// peers; empty if none is known to have reached it.
    std::optional<std::chrono::nanoseconds> platformContactAge() const;

    /// Call it after the process was paused. Peers are queried again before the documents count as current.
    void onPaused();

    /// @return Whether the documents count as current: both are in force and no newer revision is known, and since the
    /// start or the last pause peers have replied, or none replied within the timeout.
    bool hasCaughtUp() const { return m_catchUp.isDone(); }

    const DistributorCounters& counters() const { return m_counters; }

private:
    /// Distribution state of one document.
    struct Slot {
        FrameCache frames;
        DocumentVersion lastPushed;
        std::optional<SteadyTime> announceAt;
        std::optional<DocumentFetch> fetch;
        DocumentVersion advertised; ///< Newest wanted version that peers have advertised.
        std::deque<Address> holders; ///< Peers that advertised it.
    };

    Distributor(DistributorSettings, DocumentStore&, const PeerDirectory&, const Clock&, uint64_t seed, ControlSender);

    Slot makeSlot(DocumentName) const;
    void pushNewVersions();
    void push(DocumentName);
    void announceRevisions(SteadyTime now);
    void exchangeWithBridge(SteadyTime now);
    void handleAdvertisedVersion(DocumentName, const DocumentVersion&, const Address& holder);
    void handleSummary(const RevisionSummary&, const Address& holder);
    void startFetch(DocumentName);
    void sendPull(DocumentName);
    void retryFetches(SteadyTime now);
    void finishFetch(DocumentName, const std::string& source);
    bool applyFrame(const FrameHeader&, std::string_view frame, const std::string& source);
    void receivePush(const Address& from, const ControlMessage&);
    void receivePull(const Address& from, const ControlMessage&);
    void receiveChunk(const ControlMessage&);
    void receiveRevisions(const Address& from, const ControlMessage&);
    void queryPeers(SteadyTime now);
    void updateCatchUp(SteadyTime now);
    void sendRevisions(const Address& to, uint64_t roundId, bool wantsReply);
    RevisionSummary summary() const;
    DocumentVersion currentVersion(DocumentName) const;
    std::vector<Address> chooseLocalPeers(size_t count);
    std::vector<Address> chooseRemoteBridges(size_t count);
    void sendTo(const Address& to, ControlMessageType, std::string payload);

    const DistributorSettings m_settings;
    DocumentStore& m_store;
    const PeerDirectory& m_peers;
    const Clock& m_clock;
    Random m_random;
    const ControlSender m_send;
    std::array<Slot, documentCount> m_slots;
    TokenBucket m_serveLimit;
    TokenBucket m_replyLimit;
    SteadyTime m_nextBridgeExchange;
    std::optional<SteadyTime> m_platformContactAt;
    DistributorCounters m_counters;
    CatchUp m_catchUp;
};

}

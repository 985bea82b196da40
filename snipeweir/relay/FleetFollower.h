#pragma once

#include "snipeweir/fleet/BackendRegistry.h"
#include "snipeweir/fleet/DistributionTree.h"
#include "snipeweir/fleet/EraTracker.h"
#include "snipeweir/fleet/FleetSource.h"
#include "snipeweir/fleet/OperatorDocument.h"
#include "snipeweir/fleet/OutageTracker.h"
#include "snipeweir/fleet/SourcePollSchedule.h"
#include "snipeweir/organisations/ConfigurationFreshness.h"
#include "snipeweir/relay/DocumentFetcher.h"
#include "snipeweir/relay/PeerLoads.h"
#include "snipeweir/relay/RelaySettings.h"
#include "snipeweir/telemetry/JsonLog.h"

#include <set>

namespace snipeweir {

/// Keeps the fleet view up to date. One node, selected by rank, reads the source and announces the versions of its
/// documents to all nodes. A node with an older version fetches the document from the announcer along a distribution
/// tree, so that a node that cannot reach the source still gets updates. A node that receives no announcements reads
/// the source itself. Not thread-safe; all calls must come from the thread that runs the executor.
class FleetFollower {
public:
    struct Counters {
        uint64_t sourceReads = 0;
        uint64_t sourceFailures = 0;
        uint64_t fetches = 0;
        /// Items of the source that could not be used, each counted once for each content.
        uint64_t skippedEntries = 0;
        /// Responses of the source that were older than what this node knew.
        uint64_t outdatedReads = 0;
        /// Changes to a later era of the source, which was restored from a copy then.
        uint64_t eraChanges = 0;
    };

    /// @param incarnation Random number that identifies this run of the process.
    FleetFollower(const asio::any_io_executor&, const Clock&, const RelaySettings&, FleetSource, FleetView&, PeerLoads&,
        JsonLog&, uint64_t incarnation);

    /// Reads the backend servers whenever it is this node's turn. Runs until the process ends.
    asio::awaitable<void> followBackends();
    /// Watches the operators' documents while this node reads the source. Runs until the process ends.
    asio::awaitable<void> followOperators();

    /// Subscribes to the announcements of other nodes while the backend server beside this node is not registered.
    /// Other nodes don't know of this one until then, and reading the source instead would add to its load.
    asio::awaitable<void> subscribe();

    /// @param ip Node that forwarded the announcement or confirmation.
    void onAnnouncement(const std::string& ip, const PeerMessage&);
    void onSubscription(const std::string& ip);
    /// Replies to a query of continuity(), or takes a reply.
    void onContinuity(const std::string& ip, const PeerMessage&);

    /// Records which instance the backend server beside this node reports.
    void confirmInstance(const std::string& instance);

    /// @return When this node could read the source or got its documents, for other nodes.
    SourceContinuity continuity() const { return m_outages.continuity(m_clock.now()); }

    /// @param path Request path of the document: backendsPath or operatorsPath.
    /// @return The document with its text compressed by zstd; empty if the path is unknown or no document was read yet.
    std::optional<SourceDocument> compressedDocument(std::string_view path);

    /// Called after each change of the view.
    std::function<void()> onChanged;

    /// @return Time since the view of the backend servers was last known to be up to date.
    std::chrono::milliseconds age() const;

    /// @return The known era of the source.
    uint64_t era() const { return m_eras.era(); }

    /// @return Time since that era began; empty if this node doesn't know, itself or from another node, what the
    /// documents were before.
    std::optional<std::chrono::milliseconds> eraAge() const;

    /// @return Whether the configuration in force is known to be current. Confirmed only if it has organisations.
    ConfigurationFreshness& freshness() { return m_freshness; }

    const Counters& counters() const { return m_counters; }

    static constexpr std::string_view backendsPath = "/snipeweir/fleet/backends";
    static constexpr std::string_view operatorsPath = "/snipeweir/fleet/operators";

private:
    /// Reads what has changed among the backend servers since the last read, or all of them if that is not known.
    asio::awaitable<void> readBackends();
    /// Reads all backend servers, in case an incremental read missed a change, while the incremental reads go on: pages
    /// may arrive slowly.
    asio::awaitable<void> readAllBackends();
    /// Applies and announces what was read into the registry.
    /// @param asOf Time at which the read began.
    void finishRead(SteadyTime asOf);
    /// Takes a list of all items, after the changes that it may hide.
    /// @return Whether these changes could be read.
    asio::awaitable<bool> takeFullRead(SourceItems);
    void takeFetched(DocumentFetcher::Fetched);
    /// Brings the view up to date with the registry.
    void applyBackends();
    /// Removes missing entries and those that the source lost if the view was current after their grace period.
    void expireMissing();
    /// Asks other nodes whether they could read the source during the gap that has just ended in this node's view.
    asio::awaitable<void> confirmOutage();
    /// Applies what another node said about the last gap.
    void limitOutage(const SourceContinuity&, SteadyTime requestedAt, SteadyTime receivedAt);
    /// Logs and counts the items of a document that are skipped and were not in the previous document.
    /// @param history Skipped items of the previous document.
    void reportSkipped(SkippedEntries& history, std::vector<SkippedEntry> skipped, const SourceVersion&);
    void takeFetchedOperators(const DocumentFetcher::Fetched&);
    void applyOperators(const SourceDocument&);
    /// Counts a document that was read from the source and is older than the known one. Logs the first one until the
    /// document is current again.
    /// @return Whether it may be used; a document of an earlier era may not.
    bool checkRead(std::string_view document, const SourceVersion& read, const SourceVersion& known);
    /// Records an era that the source or another node has just named.
    void noteEra(uint64_t era);
    void noteEraOf(const PeerMessage& announcement);
    /// Records when the known era began, as a node with history says.
    void noteEraBegin(uint64_t era, std::optional<std::chrono::milliseconds> eraAge);
    /// @return Whether both documents are of the known era.
    bool isInCurrentEra() const;
    bool hasHistory() const { return m_hasBackendHistory && m_hasOperatorHistory; }
    /// Records that the source has this node's documents in a later era, too. A later change is none that it lost.
    void confirmVersions(const PeerMessage& announcement);
    /// Removes the entries that were kept, without a fetch, if the announcer has removed the same ones and no others.
    /// @param readAt Time at which the announcer's view was current.
    void dropKeptWith(const PeerMessage& announcement, SteadyTime readAt);
    /// @return Whether this node should fetch the documents of an announcer, whatever their versions, because that one
    /// knows what was before the source was restored from a copy.
    bool lacksHistoryOf(const PeerMessage& announcement) const;
    /// Replies to an announcer that lacks what this node knows from before the source was restored, if this node is
    /// one of the first to which the announcer sends.
    void informAnnouncer(const std::string& ip, const PeerMessage& announcement);
    /// @return Whether operators and backend servers may still be writing again what the source lost.
    bool isSourceCatchingUp() const { return m_eras.isWithin(OperatorDocument::evacuationGrace, m_clock.now()); }
    /// Drops the evacuations that the source lost, if the view was current when their time was over.
    void expireKeptEvacuations();
    /// Logs what this node kept and dropped of a document when it took one of a later era.
    void logEraChange(std::string_view document, const SourceVersion& before, const SourceVersion&,
        const std::string& kept, size_t dropped);
    /// Brings the view up to date with the operators' document.
    void updateOperatorState();
    /// Records that the view was up to date at a time.
    void markViewCurrent(SteadyTime asOf);
    void updateRank();
    /// Subscribes nodes that are not in the order any more. Such a node must learn that its backend server is not
    /// registered, which it may not be able to read itself.
    /// @param order IP addresses of all nodes.
    void subscribeDropped(const std::vector<std::string>& order);
    /// @return Whether the backend server beside this node is registered; other nodes know of this one only then.
    bool isRegistered() const;
    /// @return Index of this node in the list of seeds; empty if it is not a seed.
    std::optional<size_t> seedIndex() const;
    PeerMessage makeAnnouncement();
    void announce();
    /// Sends a message to all nodes, along the trees.
    void broadcast(PeerMessage);
    /// @return The latest confirmation of the operators' document in force; empty if there is none.
    std::optional<PeerMessage> makeConfirmation();
    /// Records and announces that the source had the operators' document that is in force.
    /// @param asOf Time at which the source was asked.
    void confirmOperators(SteadyTime asOf);
    /// Asks the source whether it has a later version of the operators' document than this node, and reads it if so.
    /// The watch does not say so: it may have gone silent, or last for several seconds without an event.
    asio::awaitable<void> checkOperators();
    /// Does so if no other node has for some time, for example because the reading node is of an earlier version.
    void checkOperatorsIfUnconfirmed();
    void startOperatorsCheck();
    /// @return Whether the configuration in force has organisations, whose keys must not outlive their revocation.
    bool hasOrganisations() const;
    /// Announces the current view after a failed read, so that nodes of higher ranks need not try as well.
    void announceAttempt();
    /// Sends an announcement to this node's children in the announcement's tree.
    void forwardAnnouncement(PeerMessage);
    struct LastAnnouncement {
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
    };
    using LastAnnouncements = std::map<std::string, LastAnnouncement>;
    /// Records the announcement unless its announcer's incarnation has sent a newer one or the same one before.
    /// @param last The last announcements of the same kind.
    /// @return Whether it is newer.
    static bool recordIfNewer(LastAnnouncements& last, const PeerMessage&);
    /// @return Whether this node has read the source within readerWindow.
    bool isReader() const;
    void logFailedFetch(std::string_view document, const DocumentFetcher::Failure&);
    /// Reads the operators' document from the source, after no node gave it.
    asio::awaitable<void> readOperatorsOnce();
    /// Reads and announces the operators' document, which the watch may not do before its end.
    asio::awaitable<void> readOperatorsOfNewEra();

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    const RelaySettings& m_node;
    FleetSource m_source;
    FleetView& m_view;
    PeerLoads& m_peers;
    JsonLog& m_log;
    ConnectionPool m_pool;
    DocumentFetcher m_backendsFetcher;
    DocumentFetcher m_operatorsFetcher;
    SourcePollSchedule m_pollSchedule;
    Counters m_counters;

    SkippedEntries m_skippedBackends;
    SkippedEntries m_skippedOperatorItems;
    BackendRegistry m_registry;
    OutageTracker m_outages;
    EraTracker m_eras;
    /// Whether this node knows, itself or from another node, what each document was before the current era.
    bool m_hasBackendHistory = false;
    bool m_hasOperatorHistory = false;
    OperatorDocument m_operators;
    /// Time of the last reply to an announcer that knew less.
    SteadyTime m_informedAt {};
    /// The documents' texts compressed by zstd, cached for other nodes; empty until a node fetches the document.
    std::string m_compressedBackends;
    std::string m_compressedOperators;
    SourceDocumentVersion m_backendsVersion;
    /// Digest announced for the document that was fetched last; zero if another one was taken since. Nodes that judge
    /// an entry differently have different digests for one document, which need not be fetched again.
    uint64_t m_fetchedDigest = 0;
    SourceDocumentVersion m_operatorsVersion;
    /// Distribution tree over the nodes in order of rank.
    DistributionTree m_tree;

    ConfigurationFreshness m_freshness;
    bool m_isCheckingOperators = false;
    SteadyTime m_operatorsCheckedAt {};
    size_t m_rank = 0;

    // Announcements: incarnation and sequence number of this node, and the last announcement of each other node.
    uint64_t m_incarnation;
    uint64_t m_sequence = 0;
    LastAnnouncements m_lastAnnouncements;
    LastAnnouncements m_lastConfirmations;
    uint64_t m_confirmationSequence = 0;
    std::string m_lastAnnouncer;
    /// Subscribed nodes by IP address, with the time at which their subscription expires.
    std::map<std::string, SteadyTime> m_subscribers;
    SteadyTime m_readAt {};
    /// Time at which the last read began.
    SteadyTime m_readStartedAt {};
    /// Query of continuity() under way, and the time at which it was sent.
    uint64_t m_continuityNonce = 0;
    SteadyTime m_continuityAskedAt {};
    bool m_isConfirmingOutage = false;
    bool m_isSourceUnavailable = false;
    /// Documents whose last read was outdated.
    std::set<std::string, std::less<>> m_outdatedDocuments;
    SteadyTime m_fullReadAt {};
    bool m_isReadingAll = false;
    /// Wakes followBackends() at the next read.
    Timer m_backendsTimer;
    Timer m_operatorTimer;
};

}

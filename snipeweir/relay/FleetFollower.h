#pragma once

#include "snipeweir/fleet/DistributionTree.h"
#include "snipeweir/fleet/FleetSource.h"
#include "snipeweir/fleet/ReadTurn.h"
#include "snipeweir/relay/HttpExchange.h"
#include "snipeweir/relay/PeerLoads.h"
#include "snipeweir/relay/RelaySettings.h"
#include "snipeweir/telemetry/JsonLog.h"

namespace snipeweir {

/// Keeps the fleet view current. The node whose turn it is reads the source and announces the state of its documents
/// to all nodes; a node that lacks a document fetches it along a tree from the announcer. A node that the source turns
/// away is served by the others in this way, and one that hears no announcement reads by itself. For one thread.
class FleetFollower {
public:
    struct Counters {
        uint64_t sourceReads = 0;
        uint64_t sourceFailures = 0;
        uint64_t fetches = 0;
    };

    /// @param run Random number of this process.
    FleetFollower(const asio::any_io_executor&, const Clock&, const RelaySettings&, FleetSource, FleetView&, PeerLoads&,
        JsonLog&, uint64_t run);

    asio::awaitable<void> followBackends();
    asio::awaitable<void> followOperators();

    /// Asks other nodes for announcements while the backend server beside this one is not registered: no node would
    /// send any, and each read of the source has its price.
    asio::awaitable<void> subscribe();

    /// @param ip Node that passed the announcement on.
    void onAnnouncement(const std::string& ip, const PeerMessage&);
    void onSubscription(const std::string& ip);

    /// @param path Path of a document, as fetched by other nodes.
    /// @return The document with its text compressed; empty if there is none.
    std::optional<SourceDocument> packedDocument(std::string_view path);

    /// Called after each change of the view.
    std::function<void()> onChanged;

    /// @return Age of the view of the backend servers.
    std::chrono::milliseconds age() const;

    const Counters& counters() const { return m_counters; }

    static constexpr std::string_view backendsPath = "/snipeweir/fleet/backends";
    static constexpr std::string_view operatorsPath = "/snipeweir/fleet/operators";
    static constexpr std::string_view revisionField = "Snipeweir-Revision";

private:
    asio::awaitable<void> readBackends();
    void takeBackends(SourceDocument);
    void takeOperators(SourceDocument);
    /// Notes that the view was current at a time.
    void onFresh(SteadyTime asOf);
    void updateRank();
    /// @return Whether the backend server beside this node is registered, so that all nodes know of this one.
    bool isRegistered() const;
    /// @return Position of this node among the seeds; empty if it is none.
    std::optional<size_t> seedPosition() const;
    PeerMessage makeAnnouncement();
    void announce();
    /// Sends an announcement to the nodes that get it from this one.
    void passOn(PeerMessage);
    /// @return Whether the announcement is later than all others of its announcer.
    bool isLatest(const PeerMessage&);
    bool isReader() const;
    bool isAfterOutage() const;
    /// Fetches a document of at least a revision: along the tree, from the node that passed the announcement on, from
    /// the announcer.
    asio::awaitable<void> fetch(std::string announcer, std::string passedOnBy, DocumentMark, bool isBackends);
    struct Fetched {
        /// Whether the node answered at all.
        bool isReachable = false;
        std::optional<SourceDocument> document;
    };
    asio::awaitable<Fetched> fetchDocument(std::string ip, std::string_view path, DocumentMark);

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    const RelaySettings& m_node;
    FleetSource m_source;
    FleetView& m_view;
    PeerLoads& m_peers;
    JsonLog& m_log;
    ConnectionPool m_pool;
    ReadTurn m_turn;
    Counters m_counters;

    SourceDocument m_backends;
    SourceDocument m_operators;
    /// The documents' texts compressed, kept while other nodes fetch them; empty until the first fetch.
    std::string m_packedBackends;
    std::string m_packedOperators;
    DocumentMark m_backendsMark;
    DocumentMark m_operatorsMark;
    /// The nodes in the order of their ranks.
    DistributionTree m_tree;

    // Announcements: those of this node, and the last of each other one.
    struct Heard {
        uint64_t run = 0;
        uint64_t sequence = 0;
    };
    uint64_t m_run;
    uint64_t m_sequence = 0;
    std::map<std::string, Heard> m_heard;
    std::string m_lastAnnouncer;
    /// Nodes that asked for announcements, with the time until which they get them.
    std::map<std::string, SteadyTime> m_subscribers;
    SteadyTime m_readAt {};
    SteadyTime m_outageAt {};
    bool m_isSourceLost = false;
    SteadyTime m_wholeReadAt {};
    bool m_isFetchingBackends = false;
    bool m_isFetchingOperators = false;
    Timer m_operatorTimer;
};

}

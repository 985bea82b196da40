#pragma once

#include "snipeweir/fleet/FleetSource.h"
#include "snipeweir/fleet/ReadTurn.h"
#include "snipeweir/relay/HttpExchange.h"
#include "snipeweir/relay/PeerLoads.h"
#include "snipeweir/relay/RelaySettings.h"
#include "snipeweir/telemetry/JsonLog.h"

namespace snipeweir {

/// Keeps the fleet view current. The node whose turn it is reads the source and announces the state of its documents
/// to all nodes; a node that lacks a document fetches it from the announcer. A node that the source turns away is
/// served by the others in this way, and one that hears no announcement reads by itself. For one thread.
class FleetFollower {
public:
    struct Counters {
        uint64_t sourceReads = 0;
        uint64_t sourceFailures = 0;
        uint64_t fetches = 0;
    };

    FleetFollower(const asio::any_io_executor&, const Clock&, const RelaySettings&, FleetSource, FleetView&, PeerLoads&,
        JsonLog&);

    asio::awaitable<void> followBackends();
    asio::awaitable<void> followOperators();

    void onAnnouncement(const std::string& ip, const PeerMessage&);

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
    void takeBackends(SourceDocument);
    void takeOperators(SourceDocument);
    /// Notes that the view was current at a time.
    void onFresh(SteadyTime asOf);
    void updateRank();
    void announce();
    bool isReader() const;
    bool isAfterOutage() const;
    /// @return IP address of the node to fetch a document from.
    std::string fetchParent(const std::string& announcer) const;
    asio::awaitable<void> fetch(Address from, DocumentMark, bool isBackends);
    asio::awaitable<std::optional<SourceDocument>> fetchDocument(const Address& from, std::string_view path);

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
    /// IP addresses of all nodes in the order of their ranks.
    std::vector<std::string> m_order;
    SteadyTime m_readAt {};
    SteadyTime m_outageAt {};
    bool m_isSourceLost = false;
    bool m_isFetchingBackends = false;
    bool m_isFetchingOperators = false;
    Timer m_operatorTimer;
};

}

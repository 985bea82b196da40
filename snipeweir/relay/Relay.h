#pragma once

#include "snipeweir/core/Result.h"
#include "snipeweir/relay/CallerPath.h"
#include "snipeweir/relay/RelayContext.h"

#include <boost/asio/signal_set.hpp>

namespace snipeweir {

/// A node that relays requests from callers on its VM to backend servers anywhere in the fleet. All work is done by the
/// thread that calls run(); only the log has its own thread.
class Relay {
public:
    /// @param settings Checked settings of this node.
    /// @param names Names of the header fields that callers and backend servers use.
    /// @param makeSource Creates the source of the fleet's documents on the given executor.
    /// @return The relay with all its sockets open, or ErrorCode::Unavailable if one could not be opened.
    static Result<std::unique_ptr<Relay>> create(RelaySettings settings, WireNames names, const Clock&, JsonLog&,
        const std::function<FleetSource(asio::any_io_executor)>& makeSource);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    /// Serves requests until SIGTERM, then completes the requests in flight and returns within the stop grace period.
    void run();

    /// Reads the settings again, on SIGHUP or when they have changed. Returns no value if they are invalid; the current
    /// settings then stay in force.
    std::function<std::optional<RelaySettings>()> reloadSettings;
    /// Returns whether the settings have changed since they were last read. Polled, since they may change without a
    /// signal.
    std::function<bool()> haveSettingsChanged;

    /// @return All metrics in the Prometheus text format.
    std::string metricsText() const;

private:
    Relay(RelaySettings, std::unique_ptr<BodyMemory>, WireNames, const Clock&, JsonLog&,
        const std::function<FleetSource(asio::any_io_executor)>&);

    static Result<asio::ip::tcp::acceptor> listen(asio::io_context&, const Address&);

    using Handler = asio::awaitable<void> (Relay::*)(asio::ip::tcp::socket);
    asio::awaitable<void> accept(asio::ip::tcp::acceptor&, Handler);
    asio::awaitable<void> serveCaller(asio::ip::tcp::socket);
    asio::awaitable<void> servePeer(asio::ip::tcp::socket);
    asio::awaitable<void> serveStatus(asio::ip::tcp::socket);
    asio::awaitable<void> servePeerRequest(InboundConnection&);
    /// @return Whether a request of another node may run here; otherwise a planned stop might cut it off. Shortens the
    /// deadline of its run if necessary.
    bool mayServe(RelayRequest&) const;
    /// Responds to a request of another node whose body does not fit into the memory.
    asio::awaitable<void> rejectPeerRequest(InboundConnection&);
    /// Closes a connection of another node or of the platform; see InboundConnection::close.
    asio::awaitable<void> close(InboundConnection&);
    asio::awaitable<void> handleSignals();
    asio::awaitable<void> watchSettings();
    asio::awaitable<void> drain();
    bool isReady() const;
    /// Takes a backend server that says that it leaves out of this node's choice, and closes its gate if it is the own.
    void markLeaving(const BackendIncarnation&);
    void reload();
    /// Passes a change of the fleet view on to the parts that depend on it.
    void onViewChanged();

    std::unique_ptr<BodyMemory> m_bodyMemory;
    // Declared before all members that use it, so that it is destroyed after them.
    RelayContext m_context { 1 };
    RelaySettings m_settings;
    WireNames m_names;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics m_metrics;
    FleetView m_view;
    PeerLoads m_peers;
    FleetFollower m_follower;
    CallerAuthentication m_authentication;
    ServerPath m_server;
    Quotas m_quotas;
    CallerPath m_callers;
    asio::signal_set m_signals;
    std::vector<asio::ip::tcp::acceptor> m_acceptors;
    /// Organisations whose limits the quotas have.
    std::shared_ptr<const OrganisationTable> m_organisations;
    size_t m_peerRequestsInFlight = 0;
    size_t m_closingConnections = 0;
    /// Set when the node was told to stop.
    std::optional<StopSchedule> m_stopSchedule;
};

}

#pragma once

#include "snipeweir/core/Result.h"
#include "snipeweir/relay/CallerPath.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace snipeweir {

/// One node that relays requests between callers on its VM and backend servers anywhere in the fleet. All work is done
/// by the thread that calls run(); only the log has a thread of its own.
class Relay {
public:
    /// @param settings Checked settings of this node.
    /// @param names Names of the header fields that callers and backend servers use.
    /// @param makeSource Creates the source of the fleet's documents, given what it runs on.
    /// @return The relay with all its sockets open, or ErrorCode::Unavailable.
    static Result<std::unique_ptr<Relay>> create(RelaySettings settings, WireNames names, const Clock&, JsonLog&,
        const std::function<FleetSource(asio::any_io_executor)>& makeSource);

    /// Serves until SIGTERM, then finishes what is in flight.
    void run();

    /// Reads the settings again on SIGHUP; gives none if they are faulty, which leaves those in force as they are.
    std::function<std::optional<RelaySettings>()> reloadSettings;
    /// Tells whether the settings have changed since they were read; they may change without a signal.
    std::function<bool()> haveSettingsChanged;

    /// @return All metrics in the Prometheus text format.
    std::string metricsText() const;

private:
    Relay(RelaySettings, WireNames, const Clock&, JsonLog&, const std::function<FleetSource(asio::any_io_executor)>&);

    static Result<asio::ip::tcp::acceptor> listen(asio::io_context&, const Address&);

    using Handler = asio::awaitable<void> (Relay::*)(asio::ip::tcp::socket);
    asio::awaitable<void> accept(asio::ip::tcp::acceptor&, Handler);
    asio::awaitable<void> serveCaller(asio::ip::tcp::socket);
    asio::awaitable<void> servePeer(asio::ip::tcp::socket);
    asio::awaitable<void> serveStatus(asio::ip::tcp::socket);
    asio::awaitable<void> runForPeer(CallerConnection&);
    asio::awaitable<void> waitForSignals();
    asio::awaitable<void> watchSettings();
    asio::awaitable<void> finish();
    bool isReady() const;
    void reload();

    // The bodies that coroutines hold go with the context.
    BodyMemory m_bodyMemory;
    // The context goes after all others, since sockets and coroutines use it.
    asio::io_context m_context { 1 };
    RelaySettings m_settings;
    WireNames m_names;
    const Clock& m_clock;
    JsonLog& m_log;
    Metrics m_metrics;
    FleetView m_view;
    PeerLoads m_peers;
    FleetFollower m_follower;
    ServerPath m_server;
    CallerPath m_callers;
    asio::signal_set m_signals;
    std::vector<asio::ip::tcp::acceptor> m_acceptors;
    size_t m_peerRuns = 0;
    bool m_isStopping = false;
};

}

#pragma once

#include "snipeweir/admission/ServerGate.h"
#include "snipeweir/fleet/FleetView.h"
#include "snipeweir/relay/HttpExchange.h"
#include "snipeweir/relay/RelaySettings.h"
#include "snipeweir/relay/WireNames.h"
#include "snipeweir/telemetry/JsonLog.h"
#include "snipeweir/telemetry/Metrics.h"

#include <unordered_map>

namespace snipeweir {

/// Runs requests at the backend server beside this node and is the only way to it: asks the gate, sends the request
/// once, checks that the answer belongs to it, and watches the server's health and load. For one thread.
class ServerPath {
public:
    struct Settings {
        /// Health checks follow each other at this pace while no answer brings the server's load.
        std::chrono::milliseconds healthInterval { 60 };
        /// Pace while requests wait for the server's machine to be fast again, and until the server has answered: it is
        /// taken for cold until then.
        std::chrono::milliseconds quickInterval { 40 };
        /// Longest wait for a health check.
        std::chrono::milliseconds healthTimeout { 400 };
        /// Body bytes collected before an answer is passed on; a broken short answer can then still be repeated.
        size_t collectedBytes = 64U << 10U;
        /// Idle time after which a kept connection is not trusted with a request that may run once only.
        std::chrono::milliseconds maxIdleAtMostOnce { 700 };
    };

    struct Counters {
        uint64_t sent = 0;
        uint64_t refused = 0;
        uint64_t served = 0;
        uint64_t unknown = 0;
        uint64_t healthChecks = 0;
        uint64_t foreignAnswers = 0;
    };

    ServerPath(const asio::any_io_executor&, const Clock&, Settings, const RelaySettings&, const WireNames&,
        const FleetView&, JsonLog&, Metrics&);

    /// Runs the request at most once.
    asio::awaitable<Answer> run(const RelayRequest&, Cancellation&);

    /// Checks the server's health and load, until the process ends.
    asio::awaitable<void> watchHealth();

    /// Takes note of changes in the fleet view, or of the start of a planned stop.
    void onViewChanged();
    void stopTakingRequests();

    /// @return The load as peers see it.
    NodeLoad load() const;

    const Counters& counters() const { return m_counters; }
    uint64_t openedConnections() const { return m_pool.opened(); }

private:
    struct Waiter {
        explicit Waiter(const asio::any_io_executor& executor)
            : timer(executor)
        {
        }
        Timer timer;
        std::optional<ServerGate::Decision> decision;
    };

    /// What is known of a run; shared with the exchange, which may outlive run() while a body streams.
    struct Run {
        uint64_t ticket = 0;
        SteadyTime startedAt;
        bool isCancelled = false;
        bool hasFailed = false;
        bool wasNotRun = false;
    };

    asio::awaitable<ServerGate::Decision> admit(const ServerGate::Ticket&, Cancellation&);
    asio::awaitable<std::shared_ptr<HttpExchange>> connect(const RelayRequest&, bool mayReuse);
    asio::awaitable<Answer> exchange(const RelayRequest&, Cancellation&, const std::shared_ptr<Run>&);
    asio::awaitable<Answer> readAnswer(const RelayRequest&, const std::shared_ptr<HttpExchange>&, Run&);
    std::string requestHead(const RelayRequest&) const;
    void noteLoad(HttpExchange&);
    /// Takes note of how much too late a timer has fired.
    void noteSuspension(std::chrono::nanoseconds late);
    /// Takes note that the server refuses connections or is gone; it may come back cold.
    void noteServerLost();
    /// @return What the operators say of the service beside this node; the defaults if they say nothing.
    ServicePolicy policy() const;
    void advanceGate();
    void scheduleGate();
    asio::awaitable<bool> checkHealth();

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    Settings m_settings;
    const RelaySettings& m_node;
    const WireNames& m_names;
    const FleetView& m_view;
    JsonLog& m_log;
    Metrics& m_metrics;

    ServerGate m_gate;
    ConnectionPool m_pool;
    Counters m_counters;
    uint64_t m_nextTicket = 1;
    std::unordered_map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
    Timer m_gateTimer;
    std::optional<SteadyTime> m_gateTimerAt;

    /// Instance by the last health answer; empty while none has come since the server was lost.
    std::string m_instance;
    SteadyTime m_loadAt {};
    bool m_isStopping = false;
    bool m_isServerLost = false;
};

}

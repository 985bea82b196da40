#pragma once

#include "snipeweir/admission/ServerGate.h"
#include "snipeweir/admission/ServerRateLimit.h"
#include "snipeweir/fleet/FleetView.h"
#include "snipeweir/relay/HttpExchange.h"
#include "snipeweir/relay/RelaySettings.h"
#include "snipeweir/relay/WireNames.h"
#include "snipeweir/retry/RetryControl.h"
#include "snipeweir/telemetry/JsonLog.h"
#include "snipeweir/telemetry/Metrics.h"

#include <unordered_map>

namespace snipeweir {

/// Runs requests at the backend server beside this node. All requests to that server go through this class: it asks the
/// gate for admission, sends the request, checks that the response belongs to the request, and monitors the server's
/// health and load. Not thread-safe; all calls must come from the thread that runs the executor.
class ServerPath {
public:
    struct Settings {
        /// Interval between health checks while no response to a request reports the server's load.
        std::chrono::milliseconds healthInterval { 60 };
        /// Interval while requests wait for a slowdown of the server's machine to pass, and until the server has
        /// responded to a health check, since it is treated as cold until then.
        std::chrono::milliseconds fastHealthInterval { 40 };
        /// Time limit of a health check.
        std::chrono::milliseconds healthTimeout { 400 };
        /// Body bytes buffered before a response is forwarded, so that a request whose short response breaks off can
        /// still be retried.
        size_t maxBufferedBytes = 64U << 10U;
        /// Idle time after which a pooled connection is not reused for a request that must run at most once.
        std::chrono::milliseconds maxIdleAtMostOnce { 700 };
    };

    struct Counters {
        /// Requests sent to the server, including those sent again on a new connection.
        uint64_t sent = 0;
        /// Requests refused by the gate.
        uint64_t refused = 0;
        uint64_t served = 0;
        uint64_t unknown = 0;
        uint64_t healthChecks = 0;
        /// Responses that carried the identifier of another request or none.
        uint64_t mismatchedResponses = 0;
    };

    ServerPath(const asio::any_io_executor&, const Clock&, Settings, const RelaySettings&, const WireNames&,
        const FleetView&, BodyMemory&, JsonLog&, Metrics&);

    /// Runs the request. It runs at most once, unless it is idempotent and its pooled connection was closed before any
    /// response bytes.
    /// @return The server's response, or whether the request ran; see Response::Kind.
    asio::awaitable<Response> run(const RelayRequest&, Cancellation&);

    /// Checks the server's health and load periodically until the process ends.
    asio::awaitable<void> watchHealth();

    /// Applies the fleet view and the settings to the gate. Call after either has changed.
    void onViewChanged();
    /// Applies a change of the service in the settings: another backend server now runs at the same address.
    void onServiceChanged();
    /// Refuses new requests from now on, for a planned stop.
    void stopTakingRequests();

    /// @return The load reported to other nodes.
    NodeLoad load() const;

    /// @return Requests per second that the server says it takes from all nodes; empty if it names no limit.
    std::optional<double> rateLimit() const { return m_rateLimit.requestsPerSecond(); }

    /// Called when a response says that the backend server leaves, at most once for each response.
    std::function<void(const BackendIncarnation&)> onLeaving;

    /// Called when the process or the VM has been suspended, with the duration.
    std::function<void(std::chrono::nanoseconds)> onSuspended;
    /// Called when a health check names another instance than the one before.
    std::function<void(const std::string& instance)> onInstance;
    /// @return Decisions on retries; also for the requests of the callers on this VM.
    RetryControl& retries() { return m_retries; }
    const RetryControl& retries() const { return m_retries; }

    const Counters& counters() const { return m_counters; }
    uint64_t openedConnections() const { return m_pool.opened(); }

private:
    /// A request that waits for the gate's decision.
    struct Waiter {
        explicit Waiter(const asio::any_io_executor& executor)
            : timer(executor)
        {
        }
        Timer timer;
        std::optional<ServerGate::Decision> decision;
    };

    /// State of a request that was admitted. Shared with the exchange, which outlives run() while a body is streamed.
    struct Run {
        uint64_t ticket = 0;
        SteadyTime startedAt;
        /// Time at which the request was sent to the server, for the last time if it was sent again.
        SteadyTime sentAt;
        /// Incarnation that was registered when the request was sent.
        BackendIncarnation incarnation;
        bool isCancelled = false;
        bool hasFailed = false;
        bool wasNotRun = false;
        /// Set from the first time that the request is sent until the run ends.
        std::optional<RetriedRuns::Run> retriedRun;
        /// Status of the server's response; zero if there was none.
        unsigned status = 0;
        /// Number of times that the request was sent again on a new connection.
        uint32_t resends = 0;
        /// Why the server's response was refused; empty if it was not.
        std::string fault;
    };

    asio::awaitable<ServerGate::Decision> admit(const ServerGate::Request&, Cancellation&);
    /// Logs and counts a refusal.
    /// @return Response to the calling node.
    Response refuse(const RelayRequest&, Reason);
    asio::awaitable<std::shared_ptr<HttpExchange>> connect(const RelayRequest&, bool mayReuse);
    asio::awaitable<Response> exchange(const RelayRequest&, Cancellation&, const std::shared_ptr<Run>&);
    asio::awaitable<Response> readResponse(const RelayRequest&, const std::shared_ptr<HttpExchange>&, Run&);
    std::string requestHead(const RelayRequest&) const;
    void updateLoad(HttpExchange&);
    /// Closes the gate if the response says that the server leaves.
    /// @param incarnation Incarnation that sent the response.
    void readLeavingNotice(const HttpExchange&, const BackendIncarnation& incarnation);
    /// Closes the gate while the server itself says that it leaves, whatever is registered.
    /// @param instance Instance that says so; empty if the server does not.
    void setLeavingInstance(const std::string& instance);
    /// Reads the server's rate limit from a response.
    /// @param sentAt Time at which the request of the response was sent.
    void readRateLimit(const HttpExchange&, SteadyTime sentAt);
    /// @return The registered incarnation of the server beside this node; empty if it is not registered.
    BackendIncarnation registeredIncarnation() const;
    /// Detects a suspension of this process or VM.
    /// @param late Time from the expiry of a timer until its handler ran, or the duration of a health check.
    void handleSuspension(std::chrono::nanoseconds late);
    /// Records that no connection to the server could be opened. It may be cold when it is back.
    void markServerUnreachable();
    /// @return The operators' policy for the service beside this node; the defaults if there is none.
    ServicePolicy policy() const;
    /// Passes the gate's new decisions to the requests that wait for them.
    void advanceGate();
    /// Sets the timer for the gate's next decision.
    void scheduleGate();
    /// @return Whether the server responded to the health check with status 200.
    asio::awaitable<bool> checkHealth();

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    Settings m_settings;
    const RelaySettings& m_node;
    const WireNames& m_names;
    /// Fields of the backend server that may stand once in a response.
    std::vector<std::string> m_singleFields;
    const FleetView& m_view;
    BodyMemory& m_bodyMemory;
    JsonLog& m_log;
    Metrics& m_metrics;

    ServerGate m_gate;
    RetryControl m_retries;
    ConnectionPool m_pool;
    Counters m_counters;
    uint64_t m_nextTicket = 1;
    std::unordered_map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
    Timer m_gateTimer;
    std::optional<SteadyTime> m_gateTimerAt;

    /// Instance named in the last response to a health check; empty since the server became unreachable or
    /// responded with status 421.
    std::string m_instance;
    /// Instance that said that it leaves, and has not responded to a health check without saying so since; otherwise
    /// empty. The source may register its incarnation only after that, so an incarnation is not enough.
    std::string m_leavingInstance;
    ServerRateLimit m_rateLimit;
    SteadyTime m_loadAt {};
    bool m_isStopping = false;
    /// Whether a health check has ended since this process started. Until then the node does not know whether the
    /// server leaves or has a rate limit, and what it was sent before.
    bool m_hasCheckedServer = false;
    bool m_isServerUnreachable = false;
};

}

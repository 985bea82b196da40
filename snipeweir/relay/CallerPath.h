#pragma once

#include "snipeweir/admission/StopSchedule.h"
#include "snipeweir/placing/Placement.h"
#include "snipeweir/relay/CallerAuthentication.h"
#include "snipeweir/relay/FleetFollower.h"
#include "snipeweir/relay/Quotas.h"
#include "snipeweir/relay/RequestConnection.h"
#include "snipeweir/relay/RouteStatistics.h"
#include "snipeweir/relay/ServerPath.h"
#include "snipeweir/retry/LateRequestDetector.h"
#include "snipeweir/routes/TrafficSplitter.h"
#include "snipeweir/telemetry/Metrics.h"

#include <unordered_map>
#include <unordered_set>

namespace snipeweir {

/// Serves the callers on this VM. Finds the route of each request, chooses a backend server, sends the request to the
/// node beside it, retries or hedges where that is safe, and returns exactly one final response. For one thread.
class CallerPath {
public:
    struct Settings {
        /// Maximum number of other nodes queried for their load before a backend server is chosen.
        size_t maxQueriedNodes = 4;
        /// Maximum number of attempts of one request, including those that were refused before they reached a backend
        /// server.
        uint32_t maxOffers = 4;
        /// Share of the target latency after which an idempotent request without a response is hedged.
        uint32_t hedgeAfterPercent = 60;
        /// Range of the Retry-After time that a refused caller receives.
        std::chrono::milliseconds minRetryAfter { 150 };
        std::chrono::milliseconds maxRetryAfter { 700 };
    };

    struct Counters {
        uint64_t requests = 0;
        uint64_t served = 0;
        uint64_t refused = 0;
        uint64_t failed = 0;
        uint64_t callerDisconnects = 0;
        /// Requests that were read while earlier ones of their connection were in progress.
        uint64_t pipelined = 0;
        /// Requests of these that a response before theirs, which closed the connection, left without a response.
        uint64_t pipelinedUnanswered = 0;
        uint64_t offersRefused = 0;
    };

    CallerPath(const asio::any_io_executor&, const Clock&, Settings, const RelaySettings&, const WireNames&,
        const FleetView&, CallerAuthentication&, PeerLoads&, ServerPath&, Quotas&, BodyMemory&, JsonLog&, Metrics&,
        uint64_t seed);

    /// Serves one connection until it ends.
    asio::awaitable<void> serve(asio::ip::tcp::socket);

    /// Closes each caller's connection after its next response, so that callers connect elsewhere, and refuses the
    /// requests that the schedule does not accept. Those in flight are completed.
    void startDraining(const StopSchedule& schedule) { m_stopSchedule = schedule; }

    /// Closes the connections that have no request in progress, before the process ends. Call once no connection is
    /// accepted any more.
    void closeIdleCallers();

    /// Answers the requests whose responses have not begun, before the process ends: nothing more is awaited for them.
    /// Responses that are complete but wait for their turn behind such a request can then be delivered.
    void answerAwaiting();

    /// Logs the requests that the end of the process cuts off.
    void logUnfinished();

    /// Called when a response says that its backend server leaves, at most once for each response.
    std::function<void(const BackendIncarnation&)> onLeaving;

    /// Closes the pooled connections to other nodes that have been idle for too long. Call periodically.
    void closeIdleConnections() { m_pool.closeIdle(); }

    /// @return Number of requests in flight.
    size_t inFlight() const { return m_inFlight; }

    /// @return Number of connections that are being closed; their callers may still wait for a response on its way.
    size_t closingConnections() const { return m_closingConnections; }

    const Counters& counters() const { return m_counters; }

private:
    struct Call;
    struct Attempt;

    /// Reads the requests of a connection and starts to serve them, until the connection ends or another coroutine
    /// continues to read.
    asio::awaitable<void> readRequests(std::shared_ptr<CallerConnection>);
    asio::awaitable<void> closeConnection(CallerConnection&);
    /// Serves a request that was read while earlier ones of its connection were in progress.
    asio::awaitable<void> servePipelined(std::shared_ptr<RequestConnection>);
    asio::awaitable<void> serveRequest(RequestConnection&);
    /// @return Whether the request may be served; otherwise a planned stop leaves too little time for it. Shortens the
    /// deadline of its run if necessary.
    bool mayServe(Call&);
    static ResponseSequencer::RunMode runMode(RouteKind);
    /// @return Memory that holding a response of the route is expected to need; see readHeldBody().
    size_t expectedHeldBytes(const Route&);
    /// @return Whether the request may run now; it then counts as started.
    bool tryStart(RequestConnection&);
    /// Waits until it is the response's turn to be written. Reads the rest of its body meanwhile, as far as the memory
    /// limits allow, so that the backend server's slot becomes free. Reads on in its turn while requests behind it have
    /// started: they lose their responses if this one breaks off once it has begun.
    asio::awaitable<void> holdResponse(RequestConnection&, Call&);
    /// @return The time limit of the rest of a response whose head is there.
    ResponseTimeLimit timeLimit(const RelayRequest&) const;
    /// Reads the rest of the body while it must be held and there is memory for it.
    asio::awaitable<void> readHeldBody(RequestConnection&, Call&);
    /// Responds to a request that was rejected while it was read.
    asio::awaitable<void> rejectUnread(RequestConnection&);
    void finishRequest(RequestConnection&);
    asio::awaitable<void> relay(const std::shared_ptr<Call>&);
    asio::awaitable<void> runAttempt(std::shared_ptr<Call>, std::shared_ptr<Attempt>);
    /// @return Whether the response says that its backend server leaves.
    bool isFromLeavingServer(const Response&) const;
    asio::awaitable<Response> sendToPeer(const RelayRequest&, const std::string& ip, Cancellation&);
    /// Purpose of an attempt.
    enum class Purpose {
        /// The first attempt, or the retry of a failed one.
        Primary,
        /// A duplicate of an attempt whose response is slow.
        Hedge,
    };

    asio::awaitable<const BackendEntry*> chooseBackendServer(Call&, RelayRequest&, Purpose);
    /// @param report Report of the node that gave the failed response.
    bool mayRetry(Call&, RetryReason, const RetryReport& report);
    /// Checks the key of a request again before an attempt.
    /// @param fallback Receives the rejection in place of an earlier refusal.
    bool isStillAuthenticated(Call&, RelayRequest&, Response& fallback);
    void logResponse(const Call&, bool isWritten);
    std::chrono::milliseconds retryAfter();
    asio::awaitable<bool> writeResponse(RequestConnection&, Call&);
    /// @param quotaRetryAfter Retry-After of a response with status 429.
    asio::awaitable<bool> writeLocalResponse(RequestConnection&, unsigned status, const std::string& callId, Reason,
        std::chrono::milliseconds quotaRetryAfter = {});

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    Settings m_settings;
    const RelaySettings& m_relaySettings;
    const WireNames& m_names;
    const FleetView& m_view;
    CallerAuthentication& m_authentication;
    PeerLoads& m_peers;
    ServerPath& m_server;
    Quotas& m_quotas;
    BodyMemory& m_bodyMemory;
    JsonLog& m_log;
    Metrics& m_metrics;
    Random m_random;
    Placement m_placement;
    TrafficSplitter m_splitter;
    RouteStatistics m_statistics;
    ConnectionPool m_pool;
    /// Keyed by route name.
    std::map<std::string, LateRequestDetector> m_lateRequestDetectors;
    Counters m_counters;
    size_t m_inFlight = 0;
    /// Requests that have been accepted and whose responses have not been written.
    std::unordered_set<Call*> m_calls;
    /// Connections that are not being closed.
    std::unordered_map<const CallerConnection*, std::weak_ptr<CallerConnection>> m_connections;
    size_t m_closingConnections = 0;
    /// Set when the node was told to stop.
    std::optional<StopSchedule> m_stopSchedule;
};

}

#pragma once

#include "snipeweir/placing/Placement.h"
#include "snipeweir/relay/CallerConnection.h"
#include "snipeweir/relay/FleetFollower.h"
#include "snipeweir/relay/RouteStatistics.h"
#include "snipeweir/relay/ServerPath.h"
#include "snipeweir/retry/CallerPatience.h"
#include "snipeweir/retry/RetryBudget.h"
#include "snipeweir/routes/TrafficSplitter.h"
#include "snipeweir/telemetry/Metrics.h"

namespace snipeweir {

/// Serves the callers on this VM: finds the route, chooses a backend server, sends the request to the node beside it,
/// repeats where that is safe, and gives each request one final answer. For one thread.
class CallerPath {
public:
    struct Settings {
        /// Nodes asked for their load before a choice, besides this one.
        size_t askedNodes = 4;
        /// Backend servers that a request may be offered to while each refuses it unsent.
        uint32_t maxOffers = 4;
        /// A repeatable request without an answer is sent once more after this share of its target latency.
        uint32_t hedgeAfterPercent = 60;
        /// Bounds of the time after which a refused caller is asked to come back.
        std::chrono::milliseconds leastRetryAfter { 150 };
        std::chrono::milliseconds mostRetryAfter { 700 };
        /// Share of the fleet's repeats that this node uses up at most, in percent of an even share.
        uint32_t budgetSharePercent = 70;
    };

    struct Counters {
        uint64_t requests = 0;
        uint64_t served = 0;
        uint64_t refused = 0;
        uint64_t failed = 0;
        uint64_t left = 0;
        uint64_t offersRefused = 0;
    };

    CallerPath(const asio::any_io_executor&, const Clock&, Settings, const RelaySettings&, const WireNames&,
        const FleetView&, PeerLoads&, ServerPath&, BodyMemory&, JsonLog&, Metrics&, uint64_t seed);

    /// Serves one connection until it ends.
    asio::awaitable<void> serve(asio::ip::tcp::socket);

    /// Asks callers to open new connections elsewhere.
    void startDraining() { m_isDraining = true; }

    /// Refuses new requests; those in flight go on.
    void stopTakingRequests() { m_isStopped = true; }

    /// @return Requests being served.
    size_t inFlight() const { return m_inFlight; }

    const Counters& counters() const { return m_counters; }

private:
    struct Call;
    struct Attempt;

    asio::awaitable<void> serveOne(CallerConnection&);
    asio::awaitable<void> relay(const std::shared_ptr<Call>&);
    asio::awaitable<void> attempt(std::shared_ptr<Call>, std::shared_ptr<Attempt>);
    asio::awaitable<Answer> sendToPeer(const RelayRequest&, const std::string& ip, Cancellation&);
    /// What a further send is for.
    enum class Purpose {
        /// No answer can come from earlier sends.
        Answer,
        /// An earlier send is late.
        Hedge,
    };

    asio::awaitable<const BackendEntry*> choose(Call&, RelayRequest&, Purpose);
    bool mayRepeat(Call&, RetryReason);
    void logAnswer(const Call&, bool isWritten);
    std::chrono::milliseconds retryAfter();
    asio::awaitable<bool> writeAnswer(CallerConnection&, Call&);
    asio::awaitable<bool> writeOwn(CallerConnection&, unsigned status, const std::string& callId, Reason);
    RetryBudget& budget(const ServiceName&);

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    Settings m_settings;
    const RelaySettings& m_node;
    const WireNames& m_names;
    const FleetView& m_view;
    PeerLoads& m_peers;
    ServerPath& m_server;
    BodyMemory& m_bodyMemory;
    JsonLog& m_log;
    Metrics& m_metrics;
    Random m_random;
    Placement m_placement;
    TrafficSplitter m_splitter;
    RouteStatistics m_statistics;
    ConnectionPool m_pool;
    std::map<ServiceName, RetryBudget> m_budgets;
    /// By the names of the routes.
    std::map<std::string, CallerPatience> m_patience;
    Counters m_counters;
    size_t m_inFlight = 0;
    bool m_isDraining = false;
    bool m_isStopped = false;
};

}

#include "snipeweir/relay/Relay.h"

#include "snipeweir/relay/HopCodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <malloc.h>
#include <random>

namespace snipeweir {

namespace {

    /// Maximum number of connections that wait to be accepted.
    constexpr int listenBacklog = 1024;
    constexpr std::chrono::milliseconds drainPollInterval { 50 };
    /// Polling interval; changed settings must be in force within two seconds.
    constexpr std::chrono::milliseconds settingsPollInterval { 1000 };
    constexpr std::chrono::milliseconds peerWriteTimeout { 5000 };
    /// Memory of responses after whose release the heap returns what it does not use to the system.
    constexpr size_t minTrimBytes = 8U << 20U;

    uint64_t randomSeed()
    {
        std::random_device device;
        return (static_cast<uint64_t>(device()) << 32U) | device();
    }

    CallerLimits peerLimits()
    {
        CallerLimits limits;
        limits.maxHeaderBytes = 64U << 10U;
        limits.maxBodyBytes = 256U << 20U;
        // Longer than the other node's pool keeps a connection, so that no pooled connection is closed from this end.
        limits.idleTimeout = std::chrono::milliseconds(10'000);
        return limits;
    }

}

Result<asio::ip::tcp::acceptor> Relay::listen(asio::io_context& context, const Address& address)
{
    asio::ip::tcp::acceptor acceptor(context);
    error_code error;
    acceptor.open(asio::ip::tcp::v4(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        setReceiveBuffer(acceptor, Connection::receiveBufferBytes);
    if (!error)
        acceptor.bind(tcpEndpoint(address), error);
    if (!error)
        acceptor.listen(listenBacklog, error);
    if (error)
        return fail(ErrorCode::Unavailable, "Cannot listen on " + address.text() + ": " + error.message());
    return acceptor;
}

Result<std::unique_ptr<Relay>> Relay::create(RelaySettings settings, WireNames names, const Clock& clock, JsonLog& log,
    const std::function<FleetSource(asio::any_io_executor)>& makeSource)
{
    BOOST_LEAF_AUTO(bodyMemory, BodyMemory::create(BodyMemory::limitFor(settings.memoryMb)));
    std::unique_ptr<Relay> relay(
        new Relay(std::move(settings), std::move(bodyMemory), std::move(names), clock, log, makeSource));
    error_code error;
    const asio::ip::udp::endpoint queryEndpoint(
        asio::ip::make_address(relay->m_settings.peersAddress.ip, error), relay->m_settings.queryPort);
    if (!error)
        relay->m_peers.bind(queryEndpoint, error);
    if (error)
        return fail(ErrorCode::Unavailable, "Cannot open the UDP port for load queries: " + error.message());
    const Address metrics { relay->m_settings.readinessAddress.ip, relay->m_settings.metricsPort };
    for (const Address& address : { relay->m_settings.callersAddress, relay->m_settings.peersAddress,
             relay->m_settings.readinessAddress, metrics }) {
        BOOST_LEAF_AUTO(acceptor, listen(relay->m_context, address));
        relay->m_acceptors.push_back(std::move(acceptor));
    }
    return relay;
}

Relay::Relay(RelaySettings settings, std::unique_ptr<BodyMemory> bodyMemory, WireNames names, const Clock& clock,
    JsonLog& log, const std::function<FleetSource(asio::any_io_executor)>& makeSource)
    : m_bodyMemory(std::move(bodyMemory))
    , m_settings(std::move(settings))
    , m_names(std::move(names))
    , m_clock(clock)
    , m_log(log)
    , m_view(clock)
    , m_peers(m_context.get_executor(), clock, PeerLoads::Settings())
    , m_follower(m_context.get_executor(), clock, m_settings, makeSource(m_context.get_executor()), m_view, m_peers,
          log, randomSeed())
    , m_authentication(m_view, m_follower.freshness(), m_names, log, m_metrics)
    , m_server(m_context.get_executor(), clock, ServerPath::Settings(), m_settings, m_names, m_view, *m_bodyMemory, log,
          m_metrics)
    , m_quotas(m_context.get_executor(), clock, m_settings, m_view, m_peers, randomSeed())
    , m_callers(m_context.get_executor(), clock, CallerPath::Settings(), m_settings, m_names, m_view, m_authentication,
          m_peers, m_server, m_quotas, *m_bodyMemory, log, m_metrics, randomSeed())
    , m_signals(m_context, SIGTERM, SIGHUP)
{
    m_peers.localLoad = [this] { return m_server.load(); };
    m_peers.onAnnouncement
        = [this](const std::string& ip, const PeerMessage& message) { m_follower.onAnnouncement(ip, message); };
    m_peers.onSubscription = [this](const std::string& ip) { m_follower.onSubscription(ip); };
    m_peers.onContinuity
        = [this](const std::string& ip, const PeerMessage& message) { m_follower.onContinuity(ip, message); };
    m_peers.onQuota = [this](const std::string& ip, const PeerMessage& message) { m_quotas.onMessage(ip, message); };
    m_quotas.viewAge = [this] { return m_follower.age(); };
    m_follower.onChanged = [this] { onViewChanged(); };
    m_server.onLeaving = [this](const BackendIncarnation& incarnation) { markLeaving(incarnation); };
    m_callers.onLeaving = m_server.onLeaving;
    m_server.onSuspended
        = [this](std::chrono::nanoseconds duration) { m_follower.freshness().onSuspended(m_clock.now() - duration); };
    m_server.onInstance = [this](const std::string& instance) { m_follower.confirmInstance(instance); };
}

// The coroutines of requests in flight end their runs at the gate and release their slots, so the members must exist.
Relay::~Relay() { m_context.destroyOperations(); }

void Relay::markLeaving(const BackendIncarnation& incarnation)
{
    if (!m_view.markLeaving(incarnation))
        return;
    m_log.logStateChange("server_leaving",
        { { "instance", incarnation.instance }, { "started_at_ms", std::to_string(incarnation.startedAtMs) } });
    m_server.onViewChanged();
}

void Relay::onViewChanged()
{
    m_server.onViewChanged();
    const auto routes = m_view.routes();
    const auto organisations = routes ? routes->configuration().organisations : nullptr;
    if (organisations != m_organisations) {
        m_organisations = organisations;
        m_quotas.setOrganisations(organisations ? organisations->organisations() : std::vector<Organisation>());
    }
    m_quotas.onViewChanged();
}

bool Relay::isReady() const { return !m_stopSchedule && m_view.routes() && !m_view.backends().empty(); }

void Relay::run()
{
    const auto start = [this](asio::awaitable<void> task) {
        asio::co_spawn(m_context, std::move(task), [](const std::exception_ptr& failure) {
            // A task throws only if an invariant is broken; end the process then.
            if (failure)
                std::rethrow_exception(failure);
        });
    };
    start(accept(m_acceptors[0], &Relay::serveCaller));
    start(accept(m_acceptors[1], &Relay::servePeer));
    start(accept(m_acceptors[2], &Relay::serveStatus));
    start(accept(m_acceptors[3], &Relay::serveStatus));
    start(m_peers.receive());
    start(m_follower.followBackends());
    start(m_follower.followOperators());
    start(m_follower.subscribe());
    start(m_server.watchHealth());
    start(handleSignals());
    start(watchSettings());
    m_context.run();
}

asio::awaitable<void> Relay::accept(asio::ip::tcp::acceptor& acceptor, Handler handler)
{
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(asTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            // Most likely there are too many open files; let some connections close before the next attempt.
            m_log.logStateChange("accept_failed", { { "error", error.message() } });
            Timer pause(m_context, std::chrono::milliseconds(20));
            co_await pause.async_wait(asTuple);
            continue;
        }
        asio::co_spawn(m_context, (this->*handler)(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> Relay::serveCaller(asio::ip::tcp::socket socket) { return m_callers.serve(std::move(socket)); }

asio::awaitable<void> Relay::servePeer(asio::ip::tcp::socket socket)
{
    InboundConnection connection(std::move(socket), *m_bodyMemory);
    connection.isStopping = [this] { return m_stopSchedule.has_value(); };
    while (connection.isKeepAlive()) {
        const auto end = co_await connection.read(peerLimits());
        if (end == InboundConnection::ReadResult::Rejected && connection.rejectionStatus() == 503)
            co_await rejectPeerRequest(connection);
        if (end != InboundConnection::ReadResult::Request)
            break;
        const std::string target(connection.request().target());
        if (const auto document = m_follower.compressedDocument(target)) {
            std::string head = hop_codec::statusLine(200);
            head.append(DocumentFetcher::revisionField).append(": ");
            head.append(std::to_string(document->version.revision.value)).append("\r\n");
            if (document->version.era != 0)
                head.append(DocumentFetcher::eraField)
                    .append(": ")
                    .append(std::to_string(document->version.era))
                    .append("\r\n");
            if (const auto eraAge = m_follower.eraAge())
                head.append(DocumentFetcher::eraAgeField)
                    .append(": ")
                    .append(std::to_string(eraAge->count()))
                    .append("\r\n");
            head.append(DocumentFetcher::continuityField).append(": ");
            head.append(m_follower.continuity().text()).append("\r\n");
            co_await connection.writeComplete(std::move(head), document->text, m_clock.now() + peerWriteTimeout);
            continue;
        }
        ++m_peerRequestsInFlight;
        co_await servePeerRequest(connection);
        --m_peerRequestsInFlight;
    }
    co_await close(connection);
}

asio::awaitable<void> Relay::close(InboundConnection& connection)
{
    ++m_closingConnections;
    co_await connection.close();
    --m_closingConnections;
}

asio::awaitable<void> Relay::servePeerRequest(InboundConnection& connection)
{
    auto request = hop_codec::decodeRequest(connection.request(), m_names.callId, m_clock.now());
    if (!request) {
        co_await connection.writeComplete(hop_codec::statusLine(404), std::string(), m_clock.now() + peerWriteTimeout);
        co_return;
    }
    Response response = Response::notRun(Reason::WrongEndpoint);
    request->body = connection.takeBody();
    auto cancellation = std::make_shared<Cancellation>();
    if (!mayServe(*request)) {
        response.reason = Reason::Draining;
    } else if (request->service == m_settings.service) {
        connection.watchForDisconnect([cancellation] { cancellation->cancel(); });
        response = co_await m_server.run(*request, *cancellation);
        connection.stopWatching();
    }
    std::string head = hop_codec::responseHead(response);
    const SteadyTime deadline = m_clock.now() + peerWriteTimeout;
    if (!response.rest) {
        co_await connection.writeComplete(std::move(head), response.body, deadline);
        co_return;
    }
    // The server may send nothing for a long time, in which only this detects that the other node has disconnected.
    connection.watchForDisconnect([weak = std::weak_ptr(response.rest)] {
        if (const auto rest = weak.lock())
            rest->cancel();
    });
    ResponseTimeLimit limit(ResponseTimeLimit::Settings(), request->responseDeadline, m_clock.now());
    co_await connection.writeStreamed(std::move(head), std::move(response.body), *response.rest, limit, m_clock);
    connection.stopWatching();
}

bool Relay::mayServe(RelayRequest& request) const
{
    if (!m_stopSchedule)
        return true;
    SteadyTime mayEndAt = request.deadline;
    if (isIdempotent(request.kind) && request.expectedServiceTime.count() > 0)
        mayEndAt = std::max(m_clock.now() + request.expectedServiceTime, request.targetAt);
    const auto deadline = m_stopSchedule->acceptFromPeer(request.deadline, mayEndAt);
    if (deadline)
        request.deadline = *deadline;
    return deadline.has_value();
}

asio::awaitable<void> Relay::rejectPeerRequest(InboundConnection& connection)
{
    co_await connection.writeComplete(
        hop_codec::responseHead(Response::notRun(Reason::BodyMemory)), std::string(), m_clock.now() + peerWriteTimeout);
}

asio::awaitable<void> Relay::serveStatus(asio::ip::tcp::socket socket)
{
    InboundConnection connection(std::move(socket), *m_bodyMemory);
    while (connection.isKeepAlive()) {
        const auto end = co_await connection.read(CallerLimits());
        if (end != InboundConnection::ReadResult::Request)
            break;
        const std::string target(connection.request().target());
        const SteadyTime deadline = m_clock.now() + peerWriteTimeout;
        unsigned status = 404;
        std::string body;
        if (target == "/metrics") {
            status = 200;
            body = metricsText();
        } else if (target == m_names.readyPath) {
            status = isReady() ? 200 : 503;
        }
        co_await connection.writeComplete(hop_codec::statusLine(status), body, deadline);
    }
    co_await close(connection);
}

asio::awaitable<void> Relay::handleSignals()
{
    for (;;) {
        const auto [error, signal] = co_await m_signals.async_wait(asTuple);
        if (error)
            co_return;
        if (signal == SIGHUP) {
            reload();
            continue;
        }
        m_log.logStateChange("stop", { { "in_flight", std::to_string(m_callers.inFlight()) } });
        co_await drain();
        co_return;
    }
}

asio::awaitable<void> Relay::watchSettings()
{
    Timer timer(m_context);
    for (;;) {
        timer.expires_after(settingsPollInterval);
        co_await timer.async_wait(asTuple);
        m_callers.closeIdleConnections();
        // Request bodies may take this memory now, from a mapping of their own.
        if (m_bodyMemory->takeReleasedByResponses() >= minTrimBytes)
            ::malloc_trim(0);
        if (haveSettingsChanged && haveSettingsChanged())
            reload();
    }
}

void Relay::reload()
{
    const std::optional<RelaySettings> settings = reloadSettings ? reloadSettings() : std::nullopt;
    if (!settings) {
        m_log.logStateChange("reload", { { "outcome", "faulty" } });
        return;
    }
    // The addresses of this VM are fixed for the life of the process; the platform restarts it when they change.
    m_settings.retryBudgetPercent = settings->retryBudgetPercent;
    m_settings.retryBudgetExtra = settings->retryBudgetExtra;
    m_settings.coldFactor = settings->coldFactor;
    m_settings.coldExtra = settings->coldExtra;
    m_settings.stopGrace = settings->stopGrace;
    m_settings.keyRevocation = settings->keyRevocation;
    m_follower.freshness().setSettings(m_settings.keyRevocation);
    m_settings.quotaWindow = settings->quotaWindow;
    m_settings.quotaOverage = settings->quotaOverage;
    m_settings.quotaSlack = settings->quotaSlack;
    m_settings.seeds = settings->seeds;
    const bool hasSameAddresses = settings->backendAddress == m_settings.backendAddress
        && settings->callersAddress == m_settings.callersAddress && settings->peersAddress == m_settings.peersAddress;
    if (settings->service != m_settings.service) {
        m_settings.service = settings->service;
        m_server.onServiceChanged();
    }
    m_log.logStateChange("reload",
        { { "outcome", hasSameAddresses ? "taken" : "taken_without_addresses" },
            { "service", m_settings.service.text() } });
    onViewChanged();
}

asio::awaitable<void> Relay::drain()
{
    const StopSchedule schedule(StopSchedule::Settings(), m_clock.now(), m_settings.stopGrace);
    m_stopSchedule = schedule;
    m_callers.startDraining(schedule);
    const auto isIdle = [this] { return m_callers.inFlight() == 0 && m_peerRequestsInFlight == 0; };
    Timer timer(m_context);
    while (!schedule.mayClose(m_clock.now(), isIdle())) {
        timer.expires_at(std::min(m_clock.now() + drainPollInterval, schedule.closingBegin()));
        co_await timer.async_wait(asTuple);
        if (m_clock.now() >= schedule.serverUntil())
            m_server.stopTakingRequests();
    }
    // The end of the process closes its sockets at once. A response that is still on its way would be lost with a
    // connection on which the caller sends more.
    for (asio::ip::tcp::acceptor& acceptor : m_acceptors) {
        error_code ignored; // Nothing is accepted any more in any case.
        acceptor.close(ignored);
    }
    m_callers.closeIdleCallers();
    bool isAwaitingResponses = true;
    const auto hasEnded = [&] { return isIdle() && m_callers.closingConnections() + m_closingConnections == 0; };
    do {
        const SteadyTime next = isAwaitingResponses ? schedule.answerEnd() : schedule.exitAt();
        timer.expires_at(std::min(m_clock.now() + drainPollInterval, next));
        co_await timer.async_wait(asTuple);
        if (isAwaitingResponses && m_clock.now() >= schedule.answerEnd()) {
            isAwaitingResponses = false;
            m_callers.answerAwaiting();
        }
    } while (!schedule.mayExit(m_clock.now(), hasEnded()));
    m_callers.logUnfinished();
    m_log.logStateChange("stopped", { { "in_flight", std::to_string(m_callers.inFlight() + m_peerRequestsInFlight) } });
    m_context.stop();
}

std::string Relay::metricsText() const
{
    std::string text = m_metrics.text() + m_authentication.metricsText();
    const auto add = [&](std::string_view name, auto value) {
        text.append("snipeweir_").append(name).append(" ").append(std::to_string(value)).append("\n");
    };
    const CallerPath::Counters& callers = m_callers.counters();
    add("requests_total", callers.requests);
    add("served_total", callers.served);
    add("refused_total", callers.refused);
    add("failed_total", callers.failed);
    add("callers_left_total", callers.callerDisconnects);
    add("pipelined_requests_total", callers.pipelined);
    add("pipelined_unanswered_total", callers.pipelinedUnanswered);
    add("offers_refused_total", callers.offersRefused);
    const ServerPath::Counters& server = m_server.counters();
    add("server_sent_total", server.sent);
    add("server_refused_total", server.refused);
    add("server_served_total", server.served);
    add("server_unknown_total", server.unknown);
    add("server_health_checks_total", server.healthChecks);
    add("server_foreign_answers_total", server.mismatchedResponses);
    add("server_connections_total", m_server.openedConnections());
    add("calls_of_retries_total", m_server.retries().chargedCalls());
    if (const auto rateLimit = m_server.rateLimit())
        add("server_rate_limit", *rateLimit);
    const QuotaClient::Counters& quotas = m_quotas.clientCounters();
    add("quota_admitted_total", quotas.admitted);
    add("quota_rejected_total", quotas.rejected);
    add("quota_fallbacks_total", quotas.fallbacks);
    add("quota_requests_total", quotas.requestsSent);
    add("quota_timeouts_total", quotas.timeouts);
    const QuotaGranter::Counters& granter = m_quotas.granterCounters();
    add("quota_granted_tokens_total", granter.grantedTokens);
    add("quota_denials_total", granter.denied);
    add("quota_transfers_total", granter.transfers);
    const FleetFollower::Counters& follower = m_follower.counters();
    add("source_reads_total", follower.sourceReads);
    add("source_failures_total", follower.sourceFailures);
    add("fetches_total", follower.fetches);
    add("skipped_entries_total", follower.skippedEntries);
    add("outdated_reads_total", follower.outdatedReads);
    add("source_era", m_follower.era());
    add("source_era_changes_total", follower.eraChanges);
    add("view_age_milliseconds", static_cast<uint64_t>(m_follower.age().count()));
    add("body_memory_limit_bytes", m_bodyMemory->limit());
    add("body_memory_used_bytes", m_bodyMemory->used());
    add("body_rejections_total", m_bodyMemory->counters().rejections);
    add("response_memory_used_bytes", m_bodyMemory->usedByResponses());
    add("response_memory_denials_total", m_bodyMemory->counters().responseDenials);
    add("backends", m_view.backends().size());
    add("log_lines_dropped_total", m_log.dropped());
    return text;
}

}

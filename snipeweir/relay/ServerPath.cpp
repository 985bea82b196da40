#include "snipeweir/relay/ServerPath.h"

#include "snipeweir/organisations/QuotaMembers.h"

#include <algorithm>

namespace snipeweir {

namespace {

    using StepResult = HttpExchange::StepResult;

    /// Number of responses to other requests that are skipped before a connection is closed.
    constexpr int maxMismatchedResponses = 3;
    /// Time limit for the body of a refusal, after which its connection is closed.
    constexpr std::chrono::milliseconds maxRefusalBodyTime { 50 };
    /// Delay of a timer from which a suspension of the process or the VM is assumed.
    constexpr std::chrono::milliseconds minSuspension { 1000 };

    std::string millisecondsLeft(SteadyTime deadline, SteadyTime now)
    {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - now);
        return std::to_string(std::max<int64_t>(1, left.count()));
    }

    void appendField(std::string& head, std::string_view name, std::string_view value)
    {
        head.append(name).append(": ").append(value).append("\r\n");
    }

    /// @return Reason of an unknown outcome after a response that did not arrive whole.
    Reason incompleteReason(const HttpExchange& exchange)
    {
        return exchange.fault().empty() ? Reason::ResponseTruncated : Reason::MalformedResponse;
    }

}

ServerPath::ServerPath(const asio::any_io_executor& executor, const Clock& clock, Settings settings,
    const RelaySettings& node, const WireNames& names, const FleetView& view, BodyMemory& bodyMemory, JsonLog& log,
    Metrics& metrics)
    : m_executor(executor)
    , m_clock(clock)
    , m_settings(settings)
    , m_node(node)
    , m_names(names)
    , m_singleFields { names.callId, names.signature, names.instance }
    , m_view(view)
    , m_bodyMemory(bodyMemory)
    , m_log(log)
    , m_metrics(metrics)
    , m_gate(ServerGate::Settings(), clock)
    , m_retries(RetryControl::Settings(), clock, node.service)
    , m_pool(executor, clock, ConnectionPool::Settings())
    , m_gateTimer(executor)
{
    m_pool.onMalformedResponse = malformedResponseLogger(log);
    // The server may have just started, so it is treated as cold until a health check says otherwise.
    m_gate.assumeCold();
}

void ServerPath::onViewChanged()
{
    const BackendEntry* entry = m_view.findByAddress(m_node.backendAddress);
    Reason reason = Reason::None;
    if (!m_view.routes())
        reason = Reason::NoConfiguration;
    else if (m_isStopping || (entry && (m_view.isLeaving(*entry) || entry->instance == m_leavingInstance)))
        reason = Reason::Draining;
    else if (!entry || entry->service != m_node.service)
        reason = Reason::NoEndpoint;
    else if (m_view.isEvacuated(entry->dataCentre) || m_view.isEvacuated(m_node.dataCentre))
        reason = Reason::DataCentreOut;
    if (entry)
        m_gate.setSlots(entry->slots);
    m_retries.setFleetBudget({ m_node.retryBudgetPercent, m_node.retryBudgetExtra, m_view.backends().size() });
    const double coldRate = policy().coldRequestsPerSecond;
    m_gate.setMaxColdRate(coldRate > 0 ? coldRate * m_node.coldFactor + m_node.coldExtra : 0);
    if (reason != m_gate.closedReason())
        m_log.logStateChange("server_gate",
            { { "reason", std::string(reasonName(reason)) }, { "instance", entry ? entry->instance : std::string() },
                { "revision", m_view.backendVersion().text() } });
    m_gate.setClosed(reason);
    advanceGate();
}

void ServerPath::onServiceChanged()
{
    m_retries.setOwnService(m_node.service);
    m_gate.assumeCold();
    onViewChanged();
}

void ServerPath::stopTakingRequests()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    onViewChanged();
}

NodeLoad ServerPath::load() const
{
    NodeLoad load = m_gate.load();
    const BackendEntry* entry = m_view.findByAddress(m_node.backendAddress);
    load.instance = entry ? entry->instance : std::string();
    load.isAccepting = load.isAccepting && !m_isServerUnreachable && m_hasCheckedServer;
    return load;
}

void ServerPath::advanceGate()
{
    for (const ServerGate::Decision& decision : m_gate.advance()) {
        const auto waiter = m_waiters.find(decision.id);
        if (waiter == m_waiters.end()) {
            if (decision.verdict == ServerGate::Verdict::Admitted)
                m_gate.onFinished(decision.id, ServerGate::RunResult::Cancelled, {});
            continue;
        }
        waiter->second->decision = decision;
        waiter->second->timer.cancel();
    }
    scheduleGate();
}

void ServerPath::scheduleGate()
{
    const auto next = m_gate.nextAdvance();
    if (!next || (m_gateTimerAt && *m_gateTimerAt <= *next && *m_gateTimerAt > m_clock.now()))
        return;
    m_gateTimerAt = next;
    m_gateTimer.expires_at(*next);
    m_gateTimer.async_wait([this](const error_code& error) {
        if (error)
            return;
        m_gateTimerAt.reset();
        advanceGate();
    });
}

asio::awaitable<ServerGate::Decision> ServerPath::admit(const ServerGate::Request& ticket, Cancellation& cancellation)
{
    ServerGate::Decision decision = m_gate.offer(ticket);
    if (decision.verdict != ServerGate::Verdict::Waiting)
        co_return decision;

    auto waiter = std::make_shared<Waiter>(m_executor);
    m_waiters.emplace(ticket.id, waiter);
    scheduleGate();
    cancellation.setHook([waiter] { waiter->timer.cancel(); });
    waiter->timer.expires_at(ticket.deadline);
    co_await waiter->timer.async_wait(asTuple);
    cancellation.setHook({});
    m_waiters.erase(ticket.id);
    if (waiter->decision)
        co_return *waiter->decision;
    m_gate.cancelWaiting(ticket.id);
    const Reason reason = cancellation.isCancelled() ? Reason::CancelledBeforeStart : Reason::DeadlinePassed;
    co_return ServerGate::Decision { ticket.id, ServerGate::Verdict::Refused, reason };
}

Response ServerPath::refuse(const RelayRequest& request, Reason reason)
{
    ++m_counters.refused;
    m_metrics.count("snipeweir_server_refusals_total{reason=\"" + std::string(reasonName(reason)) + "\"}");
    const NodeLoad now = m_gate.load();
    m_log.logRequest(JsonLog::Priority::Normal, "refused", request.id,
        { { "reason", std::string(reasonName(reason)) }, { "running", std::to_string(now.running) },
            { "waiting", std::to_string(now.waiting) }, { "limit", std::to_string(now.limit) },
            { "slowness", std::to_string(now.slownessPercent) } });
    return Response::notRun(reason);
}

asio::awaitable<Response> ServerPath::run(const RelayRequest& request, Cancellation& cancellation)
{
    if (m_isServerUnreachable)
        co_return Response::notRun(Reason::BackendUnreachable);
    if (!m_hasCheckedServer)
        co_return Response::notRun(Reason::StaleView);
    const SteadyTime arrivedAt = m_clock.now();
    if (request.isRetry && !m_retries.mayRunRetry())
        co_return refuse(request, Reason::RetryLimit);
    ServerGate::Request ticket { m_nextTicket++, request.priority, request.targetAt, request.deadline,
        request.expectedServiceTime, request.organisation.empty() ? 0 : organisationHash(request.organisation) };
    const ServerGate::Decision decision = co_await admit(ticket, cancellation);
    if (decision.verdict == ServerGate::Verdict::Refused)
        co_return refuse(request, decision.reason);

    auto run = std::make_shared<Run>();
    run->ticket = ticket.id;
    run->startedAt = m_clock.now();
    run->incarnation = registeredIncarnation();
    if (cancellation.isCancelled() || request.deadline <= run->startedAt) {
        m_gate.onFinished(ticket.id, ServerGate::RunResult::Cancelled, {});
        advanceGate();
        co_return Response::notRun(cancellation.isCancelled() ? Reason::CancelledBeforeStart : Reason::DeadlinePassed);
    }

    if (request.mayStart && !request.mayStart()) {
        m_gate.onFinished(ticket.id, ServerGate::RunResult::Cancelled, {});
        advanceGate();
        co_return Response::notRun(Reason::ApiKeyUnknown);
    }

    const uint32_t slowness = m_gate.load().slownessPercent;
    Response response = co_await exchange(request, cancellation, run);
    response.serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - run->startedAt);
    response.slownessPercent = slowness;
    response.retryReport = m_retries.report(run->wasNotRun ? 0 : run->status, run->startedAt, run->resends);
    m_metrics.observeLatency("serving", response.serviceTime);
    if (response.kind == Response::Kind::Served)
        ++m_counters.served;
    else if (response.kind == Response::Kind::Unknown)
        ++m_counters.unknown;
    const bool isNotable = response.kind != Response::Kind::Served || response.status >= 500;
    m_log.logRequest(isNotable ? JsonLog::Priority::Abnormal : JsonLog::Priority::Normal, "ran", request.id,
        { { "status", std::to_string(response.status) }, { "reason", std::string(reasonName(response.reason)) },
            { "run_us", std::to_string(response.serviceTime.count()) },
            { "queued_us",
                std::to_string(
                    std::chrono::duration_cast<std::chrono::microseconds>(run->startedAt - arrivedAt).count()) },
            { "slowness", std::to_string(slowness) }, { "instance", request.instance }, { "fault", run->fault } });
    co_return response;
}

std::string ServerPath::requestHead(const RelayRequest& request) const
{
    std::string head;
    head.reserve(512);
    head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    // A node with an earlier version of the configuration may have forwarded what a caller sent.
    const auto routes = m_view.routes();
    const bool hasOrganisations = !request.organisation.empty() || (routes && routes->configuration().organisations);
    for (const HeaderField& field : request.headers) {
        const bool isDropped = hasOrganisations
            && (equalsIgnoringCase(field.name, m_names.organisation)
                || equalsIgnoringCase(field.name, m_names.authorization));
        if (!isDropped)
            appendField(head, field.name, field.value);
    }
    if (!request.organisation.empty())
        appendField(head, m_names.organisation, request.organisation);
    appendField(head, m_names.callId, request.id.text());
    appendField(head, m_names.deadline, millisecondsLeft(request.deadline, m_clock.now()));
    appendField(head, m_names.expectedInstance, request.instance);
    appendField(head, m_names.callerService, request.callerService.text());
    if (request.bodySize() > 0 || (request.method != "GET" && request.method != "HEAD" && request.method != "DELETE"))
        appendField(head, "Content-Length", std::to_string(request.bodySize()));
    head.append("\r\n");
    return head;
}

asio::awaitable<std::shared_ptr<HttpExchange>> ServerPath::connect(const RelayRequest& request, bool mayReuse)
{
    std::chrono::milliseconds maxIdle { 0 };
    if (mayReuse)
        maxIdle = isIdempotent(request.kind) ? m_pool.settings().maxIdle : m_settings.maxIdleAtMostOnce;
    auto connection = co_await m_pool.acquire(m_node.backendAddress, maxIdle, request.deadline);
    if (!connection)
        co_return nullptr;
    co_return std::make_shared<HttpExchange>(m_pool, std::move(connection), &m_bodyMemory, m_singleFields);
}

asio::awaitable<Response> ServerPath::exchange(
    const RelayRequest& request, Cancellation& cancellation, const std::shared_ptr<Run>& run)
{
    const auto finishRun = [this, run](StepResult end) {
        ServerGate::RunResult result = ServerGate::RunResult::Succeeded;
        if (run->isCancelled)
            result = ServerGate::RunResult::Cancelled;
        else if (run->wasNotRun)
            result = ServerGate::RunResult::NotRun;
        else if (run->hasFailed || end != StepResult::Complete)
            result = ServerGate::RunResult::Failed;
        run->retriedRun.reset();
        m_gate.onFinished(
            run->ticket, result, std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - run->startedAt));
        asio::post(m_executor, [this] { advanceGate(); });
    };

    auto exchange = co_await connect(request, true);
    if (!exchange) {
        run->hasFailed = true;
        markServerUnreachable();
        finishRun(StepResult::Broken);
        co_return Response::notRun(Reason::BackendUnreachable);
    }
    if (cancellation.isCancelled()) {
        run->isCancelled = true;
        finishRun(StepResult::Broken);
        co_return Response::notRun(Reason::CancelledBeforeStart);
    }

    for (;;) {
        cancellation.setHook([weak = std::weak_ptr<HttpExchange>(exchange), run] {
            run->isCancelled = true;
            if (auto current = weak.lock())
                current->cancel();
        });
        ++m_counters.sent;
        run->sentAt = m_clock.now();
        if (!run->retriedRun)
            run->retriedRun.emplace(m_retries.startRun(request.retryProbability));
        StepResult end = co_await exchange->send(requestHead(request), request.body, request.deadline);
        if (end == StepResult::Complete)
            end = co_await exchange->readHead(request.deadline);
        const bool wasPooledConnectionClosed = end == StepResult::Broken && exchange->isReused()
            && !exchange->hasResponseBytes() && !cancellation.isCancelled();
        if (wasPooledConnectionClosed && isIdempotent(request.kind)) {
            // The server had closed the pooled connection. Keep the slot and retry on a new connection.
            m_gate.onSentAgain();
            ++run->resends;
            exchange = co_await connect(request, false);
            if (!exchange) {
                run->hasFailed = true;
                finishRun(StepResult::Broken);
                cancellation.setHook({});
                co_return Response::unknown(Reason::ConnectionLost);
            }
            if (cancellation.isCancelled()) {
                run->isCancelled = true;
                finishRun(StepResult::Broken);
                co_return Response::unknown(Reason::CancelledWhileRunning);
            }
            continue;
        }
        // The run ends with its response. It must not end before it is known that the request is not sent again, or its
        // slot would be freed twice.
        if (end == StepResult::Complete)
            exchange->onEnd = finishRun;
        else
            finishRun(end);
        Response response;
        if (cancellation.isCancelled())
            response = Response::unknown(Reason::CancelledWhileRunning);
        else if (end == StepResult::TimedOut)
            response = Response::unknown(Reason::DeadlineWhileRunning);
        else if (end != StepResult::Complete)
            response = Response::unknown(brokenReason(*exchange));
        else
            response = co_await readResponse(request, exchange, *run);
        if (run->fault.empty())
            run->fault = exchange->fault();
        cancellation.setHook({});
        co_return response;
    }
}

asio::awaitable<Response> ServerPath::readResponse(
    const RelayRequest& request, const std::shared_ptr<HttpExchange>& exchange, Run& run)
{
    // A response with another request's identifier belongs to an earlier request; this request's response follows it.
    for (int mismatched = 0;; ++mismatched) {
        const std::string_view id = exchange->field(m_names.callId);
        if (id == request.id.text())
            break;
        const bool isAnonymousRefusal
            = id.empty() && (exchange->hasField(m_names.notRun) || exchange->status() == 421) && !exchange->isReused();
        if (isAnonymousRefusal)
            break;
        ++m_counters.mismatchedResponses;
        if (mismatched == maxMismatchedResponses || id.empty()
            || co_await exchange->skipBody(request.deadline) != StepResult::Complete
            || co_await exchange->readHead(request.deadline) != StepResult::Complete) {
            run.hasFailed = true;
            run.fault = exchange->fault().empty() ? "other_request" : exchange->fault();
            co_return Response::unknown(incompleteReason(*exchange));
        }
    }
    updateLoad(*exchange);
    const unsigned status = exchange->status();
    run.status = status;
    if (status != 421) {
        readRateLimit(*exchange, run.sentAt);
        if (run.incarnation.instance == request.instance)
            readLeavingNotice(*exchange, run.incarnation);
    }

    if (status == 421 || exchange->hasField(m_names.notRun)) {
        run.wasNotRun = true;
        // The head says all; the body is read only so that the connection can be used again.
        co_await exchange->discardBody(std::min(request.deadline, m_clock.now() + maxRefusalBodyTime));
        if (status == 421)
            m_instance.clear();
        if (status == 421)
            co_return Response::notRun(Reason::WrongEndpoint, true);
        co_return Response::notRun(exchange->hasField(m_names.leaving) ? Reason::Draining : Reason::BackendShed, true);
    }
    const bool isSuccess = status / 100 == 2;
    const bool claimsNotRun = status == 408 || status == 429 || status == 503;
    if (claimsNotRun)
        run.fault = "refusal_without_statement";
    else if (exchange->hasField("Content-Encoding"))
        run.fault = "content_coding";
    else if (isSuccess && !exchange->hasField(m_names.signature))
        run.fault = "no_signature";
    if (!run.fault.empty()) {
        run.hasFailed = true;
        co_return Response::unknown(Reason::ResponseTruncated);
    }

    Response response;
    response.kind = Response::Kind::Served;
    response.wasSent = true;
    response.status = status;
    response.headers = exchange->endToEndFields();
    response.memory = exchange->memory();
    run.hasFailed = status >= 500;
    if (request.onResponseHead)
        request.onResponseHead();
    ResponseTimeLimit limit(ResponseTimeLimit::Settings(), request.responseDeadline, m_clock.now());
    const StepResult end = co_await exchange->readBodyUpTo(response.body, m_settings.maxBufferedBytes, limit);
    if (end == StepResult::More)
        response.rest = exchange;
    else if (end != StepResult::Complete)
        co_return Response::unknown(
            end == StepResult::TimedOut ? Reason::DeadlineWhileRunning : incompleteReason(*exchange));
    co_return response;
}

void ServerPath::handleSuspension(std::chrono::nanoseconds late)
{
    if (late < minSuspension)
        return;
    if (onSuspended)
        onSuspended(late);
    m_log.logStateChange("suspended",
        { { "for_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(late).count()) } });
    // The server may have restarted meanwhile, so it is treated as cold until the next health check.
    m_gate.assumeCold();
}

void ServerPath::markServerUnreachable()
{
    if (!m_isServerUnreachable)
        m_log.logStateChange("server_lost", { { "instance", m_instance } });
    m_isServerUnreachable = true;
    m_instance.clear();
    m_gate.assumeCold();
}

ServicePolicy ServerPath::policy() const
{
    if (!m_view.routes())
        return {};
    const auto& services = m_view.routes()->configuration().services;
    const auto found = services.find(m_node.service);
    return found == services.end() ? ServicePolicy() : found->second;
}

void ServerPath::updateLoad(HttpExchange& exchange)
{
    m_isServerUnreachable = false;
    if (!m_names.parseLoad)
        return;
    const auto reported = m_names.parseLoad(exchange.field(m_names.load));
    if (!reported)
        return;
    m_loadAt = m_clock.now();
    m_gate.setSlownessPercent(reported->slownessPercent);
    advanceGate();
}

void ServerPath::readLeavingNotice(const HttpExchange& exchange, const BackendIncarnation& incarnation)
{
    if (!exchange.hasField(m_names.leaving))
        return;
    setLeavingInstance(incarnation.instance);
    onLeaving(incarnation);
}

void ServerPath::setLeavingInstance(const std::string& instance)
{
    if (instance == m_leavingInstance)
        return;
    m_leavingInstance = instance;
    onViewChanged();
}

void ServerPath::readRateLimit(const HttpExchange& exchange, SteadyTime sentAt)
{
    const auto limit = parseDecimal(exchange.field(m_names.rateLimit));
    const bool isMalformed = !limit && exchange.hasField(m_names.rateLimit);
    const bool wasLimited = m_rateLimit.requestsPerSecond().has_value();
    if (isMalformed || !m_rateLimit.onResponse(limit, sentAt, m_clock.now()))
        return;
    m_gate.setRateLimit(limit);
    advanceGate();
    if (limit.has_value() != wasLimited)
        m_log.logStateChange("server_rate_limit",
            { { "per_second", limit ? std::to_string(*limit) : "none" }, { "instance", m_instance } });
}

BackendIncarnation ServerPath::registeredIncarnation() const
{
    const BackendEntry* entry = m_view.findByAddress(m_node.backendAddress);
    return entry ? entry->incarnation() : BackendIncarnation();
}

asio::awaitable<void> ServerPath::watchHealth()
{
    Timer timer(m_executor);
    bool wasHealthy = true;
    for (;;) {
        // Responses to requests also report the load, but only a health check reports that the server has become cold.
        auto interval = m_settings.healthInterval;
        if (m_gate.isWaitingForSlowdownEnd() || m_instance.empty())
            interval = m_settings.fastHealthInterval;
        else if (m_clock.now() - m_loadAt < m_settings.healthInterval / 2)
            interval = m_settings.healthInterval * 3 / 2;
        const SteadyTime wakeAt = m_clock.now() + interval;
        timer.expires_at(wakeAt);
        co_await timer.async_wait(asTuple);
        handleSuspension(m_clock.now() - wakeAt);
        if (!m_view.routes() || m_isStopping)
            continue;
        const SteadyTime checkedAt = m_clock.now();
        const bool isHealthy = co_await checkHealth();
        m_hasCheckedServer = true;
        // The check's own time limit is shorter than any suspension that counts.
        handleSuspension(m_clock.now() - checkedAt);
        if (isHealthy != wasHealthy)
            m_log.logStateChange(
                "server_health", { { "healthy", isHealthy ? "true" : "false" }, { "instance", m_instance } });
        wasHealthy = isHealthy;
        m_pool.closeIdle();
    }
}

asio::awaitable<bool> ServerPath::checkHealth()
{
    const SteadyTime deadline = m_clock.now() + m_settings.healthTimeout;
    auto connection = co_await m_pool.acquire(m_node.backendAddress, m_pool.settings().maxIdle, deadline);
    if (!connection) {
        markServerUnreachable();
        co_return false;
    }
    HttpExchange exchange(m_pool, std::move(connection), nullptr, m_singleFields);
    ++m_counters.healthChecks;
    const BackendIncarnation registered = registeredIncarnation();
    const SteadyTime sentAt = m_clock.now();
    std::string head = "GET " + policy().healthPath + " HTTP/1.1\r\n";
    appendField(head, "Host", m_node.backendAddress.text());
    head.append("\r\n");
    if (co_await exchange.send(std::move(head), nullptr, deadline) != StepResult::Complete
        || co_await exchange.readHead(deadline) != StepResult::Complete)
        co_return false;
    updateLoad(exchange);
    const std::string instance(exchange.field(m_names.instance));
    if (!instance.empty()) {
        readRateLimit(exchange, sentAt);
        setLeavingInstance(exchange.hasField(m_names.leaving) ? instance : std::string());
        if (instance == registered.instance)
            readLeavingNotice(exchange, registered);
    }
    const auto cold = parseUnsigned(exchange.field(m_names.coldRemaining));
    const bool isHealthy = exchange.status() == 200;
    co_await exchange.discardBody(deadline);
    if (!exchange.fault().empty())
        co_return false;
    if (!instance.empty()) {
        const bool isOther = instance != m_instance;
        if (isOther)
            m_log.logStateChange("server_instance",
                { { "instance", instance }, { "before", m_instance },
                    { "cold_ms", std::to_string(cold.value_or(0)) } });
        m_instance = instance;
        if (isOther)
            onInstance(instance);
        m_gate.setCold(std::chrono::milliseconds(std::min<uint64_t>(cold.value_or(0), 60'000)));
        advanceGate();
    }
    co_return isHealthy;
}

}

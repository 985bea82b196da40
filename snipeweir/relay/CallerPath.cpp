#include "snipeweir/relay/CallerPath.h"

#include "snipeweir/relay/CallerCall.h"
#include "snipeweir/relay/HopCodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace snipeweir {

namespace {

    using StepResult = HttpExchange::StepResult;

    /// Timeout of a caller that sends none.
    constexpr std::chrono::milliseconds defaultCallerTimeout { 10'000 };
    /// Size of the body that is buffered before a response is forwarded. A response that breaks off earlier can still
    /// be retried.
    constexpr size_t bufferedBodyBytes = 64U << 10U;
    /// Grace period after the deadline for a response that the backend server sent just before the deadline.
    constexpr std::chrono::milliseconds responseGracePeriod { 40 };
    constexpr std::chrono::milliseconds writeTimeout { 5000 };

    template <typename Duration> std::string microsecondsText(Duration time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(time).count());
    }

}

CallerPath::CallerPath(const asio::any_io_executor& executor, const Clock& clock, Settings settings,
    const RelaySettings& node, const WireNames& names, const FleetView& view, CallerAuthentication& authentication,
    PeerLoads& peers, ServerPath& server, Quotas& quotas, BodyMemory& bodyMemory, JsonLog& log, Metrics& metrics,
    uint64_t seed)
    : m_executor(executor)
    , m_clock(clock)
    , m_settings(settings)
    , m_relaySettings(node)
    , m_names(names)
    , m_view(view)
    , m_authentication(authentication)
    , m_peers(peers)
    , m_server(server)
    , m_quotas(quotas)
    , m_bodyMemory(bodyMemory)
    , m_log(log)
    , m_metrics(metrics)
    , m_random(seed)
    , m_placement(Placement::Settings())
    , m_splitter(seed + 1)
    , m_pool(executor, clock, ConnectionPool::Settings())
{
    m_pool.onMalformedResponse = malformedResponseLogger(log);
}

asio::awaitable<void> CallerPath::serveRequest(RequestConnection& connection)
{
    ++m_counters.requests;
    InboundConnection::Request& message = connection.request();
    auto call = std::make_shared<Call>(m_executor);
    call->arrivedAt = connection.arrivedAt();
    call->startedAt = m_clock.now();
    call->routes = m_view.routes();
    const std::string id(message[m_names.callId]);
    if (!call->routes) {
        co_await writeLocalResponse(connection, 503, id, Reason::NoConfiguration);
        co_return;
    }
    const std::string_view target(message.target().data(), message.target().size());
    const std::string host(message[boost::beast::http::field::host]);
    call->route = call->routes->find(host, target);
    if (!call->route || id.empty()) {
        co_await writeLocalResponse(
            connection, call->route ? 400 : 404, id, call->route ? Reason::BadRequest : Reason::UnknownService);
        co_return;
    }

    // Determine the deadline and the target time of the request.
    const Route& route = *call->route;
    const auto sentTimeout = parseUnsigned(std::string(message[m_names.deadline]));
    const auto callerTimeout
        = sentTimeout ? std::chrono::milliseconds(std::min<uint64_t>(*sentTimeout, 3'600'000)) : defaultCallerTimeout;
    call->callerTimeout = callerTimeout;
    RelayRequest& request = call->request;
    request.deadline = call->arrivedAt + callerTimeout;
    if (route.timeout.count() > 0)
        request.deadline = std::min(request.deadline, call->arrivedAt + route.timeout);
    request.responseDeadline = request.deadline;
    if (!mayServe(*call)) {
        co_await writeLocalResponse(connection, 503, id, Reason::Draining);
        co_return;
    }
    if (request.deadline <= call->startedAt) {
        // The request has waited for earlier requests of its connection.
        co_await writeLocalResponse(connection, 503, id, Reason::DeadlinePassed);
        co_return;
    }
    // The server gate starts requests that are certain to be late after those that can still be on time.
    auto& lateRequestDetector
        = m_lateRequestDetectors.try_emplace(route.name, LateRequestDetector::Settings()).first->second;
    call->isLate = sentTimeout && lateRequestDetector.isLate(callerTimeout, route.targetLatency);
    request.targetAt = call->isLate ? call->startedAt : call->arrivedAt + route.targetLatency;

    request.method = std::string(message.method_string());
    request.target = std::string(target);
    request.headers = hop_codec::forwardedFields(
        message, { m_names.callId, m_names.deadline, m_names.expectedInstance, m_names.callerService });
    request.body = connection.takeBody();
    request.id = CallId(id);
    request.callerService = m_relaySettings.service;
    request.kind = route.kind;
    connection.setRunMode(runMode(route.kind), expectedHeldBytes(route));
    request.priority = route.priority;
    if (const auto rejection = m_authentication.authenticate(route, request, call->credential)) {
        co_await writeLocalResponse(connection, rejection->status, id, rejection->reason);
        co_return;
    }
    request.service = m_splitter.next(route);
    request.retryProbability = m_server.retries().onRequest(request.service);
    request.expectedServiceTime = std::chrono::microseconds(
        static_cast<int64_t>(m_statistics.find(route, request.service).serviceTimeMicroseconds));

    if (m_quotas.isLimited(request.organisation)) {
        call->quota = co_await m_quotas.acquire(request.organisation);
        const QuotaDecision& decision = call->quota.decision;
        if (!decision.isAdmitted) {
            m_log.logRequest(JsonLog::Priority::Refusal, "quota_rejected", request.id,
                { { "organisation", request.organisation },
                    { "retry_after_ms", std::to_string(decision.retryAfter.count()) } });
            co_await writeLocalResponse(connection, 429, id, Reason::QuotaExceeded, decision.retryAfter);
            co_return;
        }
    }

    connection.watchForDisconnect([weak = std::weak_ptr(call)] {
        if (const auto current = weak.lock()) {
            current->isCallerDisconnected = true;
            current->wakeTimer.cancel();
            if (current->response && current->response->rest)
                current->response->rest->cancel();
        }
    });
    m_calls.insert(call.get());
    co_await relay(call);
    m_server.retries().onAnswered(request.service,
        call->response->kind == Response::Kind::NotRun ? call->response->reason : Reason::None,
        call->response->retryReport);
    if (!connection.isTurn() || connection.hasStartedBehind())
        co_await holdResponse(connection, *call);
    // While a response is streamed, its server may send nothing for long.
    if (!call->response->rest)
        connection.stopWatching();

    call->hasBegunResponse = true;
    const bool isWritten = !call->isCallerDisconnected && co_await writeResponse(connection, *call);
    m_calls.erase(call.get());
    logResponse(*call, isWritten);
    if (connection.cancelReason() == RequestConnection::CancelReason::PeerClosed)
        ++m_counters.callerDisconnects;
}

bool CallerPath::mayServe(Call& call)
{
    if (!m_stopSchedule)
        return true;
    const std::chrono::duration<double, std::micro> serviceTime(
        m_statistics.findLargest(*call.route).serviceTimeMicroseconds);
    const auto expectedTime = std::max<std::chrono::nanoseconds>(
        call.route->targetLatency, std::chrono::duration_cast<std::chrono::nanoseconds>(serviceTime));
    const auto deadline = m_stopSchedule->accept(call.startedAt, call.request.deadline, expectedTime);
    if (deadline)
        call.request.deadline = *deadline;
    return deadline.has_value();
}

ResponseTimeLimit CallerPath::timeLimit(const RelayRequest& request) const
{
    return { ResponseTimeLimit::Settings(), request.responseDeadline, m_clock.now() };
}

void CallerPath::answerAwaiting()
{
    for (Call* call : m_calls) {
        if (call->hasBegunResponse)
            continue;
        call->hasWaitEnded = true;
        call->wakeTimer.cancel();
        if (call->heldRest)
            call->heldRest->cancel();
    }
}

void CallerPath::logUnfinished()
{
    for (const Call* call : m_calls) {
        if (call->response)
            logResponse(*call, false);
    }
}

void CallerPath::logResponse(const Call& call, bool isWritten)
{
    const Response& response = *call.response;
    Outcome outcome = Outcome::Unknown;
    JsonLog::Priority priority = JsonLog::Priority::Abnormal;
    if (response.kind == Response::Kind::Served) {
        outcome = Outcome::Done;
        if (response.status < 500 && isWritten)
            priority = JsonLog::Priority::Normal;
    } else if (response.kind == Response::Kind::NotRun) {
        outcome = Outcome::NotRun;
        priority = JsonLog::Priority::Refusal;
    }
    std::string nodes;
    for (const std::string& ip : call.attemptedNodes)
        nodes.append(nodes.empty() ? "" : ",").append(ip);
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - call.arrivedAt);
    m_metrics.countOutcome(outcome, response.reason);
    m_authentication.onResponse(call.request.organisation, outcome);
    m_metrics.observeLatency("calling", took);
    m_log.logRequest(priority, "answered", call.request.id,
        { { "route", call.route->name }, { "service", call.request.service.text() },
            { "organisation", call.request.organisation }, { "outcome", std::string(outcomeName(outcome)) },
            { "status", std::to_string(response.status) }, { "reason", std::string(reasonName(response.reason)) },
            { "left", call.isCallerDisconnected ? "true" : "false" }, { "written", isWritten ? "true" : "false" },
            { "nodes", nodes }, { "sends", std::to_string(call.attemptCount) },
            { "late", call.isLate ? "true" : "false" }, { "patience_ms", std::to_string(call.callerTimeout.count()) },
            { "took_us", std::to_string(took.count()) },
            { "configuration", std::to_string(call.routes->configuration().version.value) },
            { "backends_revision", m_view.backendVersion().text() } });
}

bool CallerPath::isStillAuthenticated(Call& call, RelayRequest& request, Response& fallback)
{
    const auto rejection = m_authentication.recheck(*call.route, request, call.credential);
    if (rejection && fallback.kind == Response::Kind::NotRun)
        fallback = Response::notRun(rejection->reason);
    return !rejection;
}

bool CallerPath::mayRetry(Call& call, RetryReason reason, const RetryReport& report)
{
    RetryReason decision = reason;
    if (call.attemptCount >= call.route->maxAttempts)
        decision = RetryReason::DeniedByAttempts;
    else if (report.isFutile)
        decision = RetryReason::DeniedByCalledService;
    else if (!m_server.retries().tryRetry(call.request.service))
        decision = RetryReason::DeniedByBudget;
    m_metrics.countRetry(decision);
    m_log.logRequest(JsonLog::Priority::Abnormal, decision == reason ? "repeat" : "repeat_denied", call.request.id,
        { { "why", std::string(retryReasonName(reason)) }, { "decision", std::string(retryReasonName(decision)) },
            { "sends", std::to_string(call.attemptCount) },
            { "after_us", microsecondsText(m_clock.now() - call.startedAt) } });
    return decision == reason;
}

asio::awaitable<Response> CallerPath::sendToPeer(
    const RelayRequest& request, const std::string& ip, Cancellation& cancellation)
{
    const Address to { ip, m_relaySettings.peersAddress.port };
    auto connection = co_await m_pool.acquire(to, m_pool.settings().maxIdle, request.deadline);
    if (!connection) {
        m_peers.peer(ip).unansweredQueries += 1;
        co_return Response::notRun(Reason::EndpointUnreachable);
    }
    if (cancellation.isCancelled())
        co_return Response::notRun(Reason::CancelledBeforeStart);
    auto exchange = std::make_shared<HttpExchange>(m_pool, std::move(connection), &m_bodyMemory);
    cancellation.setHook([weak = std::weak_ptr(exchange)] {
        if (const auto current = weak.lock())
            current->cancel();
    });
    const SteadyTime deadline = request.responseDeadline + responseGracePeriod;
    std::string head = hop_codec::requestHead(request, m_names.callId, m_clock.now());
    StepResult end = StepResult::Complete;
    if (hop_codec::mustWaitForContinue(request))
        end = co_await exchange->sendWhenExpected(std::move(head), request.body, deadline);
    else
        end = co_await exchange->send(std::move(head), request.body, deadline);
    if (end == StepResult::Complete)
        end = co_await exchange->readHead(deadline);
    std::optional<Response> response;
    if (end == StepResult::Complete)
        response = hop_codec::decodeResponse(*exchange);
    if (response && end == StepResult::Complete) {
        response->memory = exchange->memory();
        if (request.onResponseHead)
            request.onResponseHead();
        ResponseTimeLimit limit = timeLimit(request);
        end = co_await exchange->readBodyUpTo(response->body, bufferedBodyBytes, limit);
        if (end == StepResult::More)
            response->rest = exchange;
    }
    cancellation.setHook({});
    if (response && (end == StepResult::Complete || end == StepResult::More)) {
        if (response->kind != Response::Kind::Served)
            response->body.clear();
        co_return std::move(*response);
    }
    if (cancellation.isCancelled())
        co_return Response::unknown(Reason::CancelledWhileRunning);
    // Without its body the request cannot have run.
    if (exchange->isBodyWithheld() && end == StepResult::Broken)
        co_return Response::notRun(Reason::EndpointUnreachable);
    co_return Response::unknown(end == StepResult::TimedOut ? Reason::DeadlineWhileRunning : brokenReason(*exchange));
}

asio::awaitable<void> CallerPath::runAttempt(std::shared_ptr<Call> call, std::shared_ptr<Attempt> attempt)
{
    attempt->request.onResponseHead = [weak = std::weak_ptr(call)] {
        if (const auto current = weak.lock())
            current->isResponseArriving = true;
    };
    if (attempt->ip == m_relaySettings.peersAddress.ip && m_authentication.organisations())
        attempt->request.mayStart = [this, weak = std::weak_ptr(call), name = attempt->request.organisation] {
            const auto current = weak.lock();
            return current && m_authentication.mayStillRun(*current->route, name, current->credential);
        };
    if (attempt->ip == m_relaySettings.peersAddress.ip)
        attempt->response = co_await m_server.run(attempt->request, attempt->cancellation);
    else
        attempt->response = co_await sendToPeer(attempt->request, attempt->ip, attempt->cancellation);
    if (attempt->response->wasSent)
        m_server.retries().onResponse(attempt->request.service, attempt->response->retryReport);
    if (isFromLeavingServer(*attempt->response))
        onLeaving(attempt->incarnation);
    call->wakeTimer.cancel();
}

bool CallerPath::isFromLeavingServer(const Response& response) const
{
    if (response.kind == Response::Kind::NotRun)
        return response.wasSent && response.reason == Reason::Draining;
    return std::any_of(response.headers.begin(), response.headers.end(),
        [this](const HeaderField& field) { return equalsIgnoringCase(field.name, m_names.leaving); });
}

asio::awaitable<void> CallerPath::relay(const std::shared_ptr<Call>& call)
{
    const bool isIdempotentCall = isIdempotent(call->request.kind);
    const auto hedgeAfter = call->route->targetLatency * m_settings.hedgeAfterPercent / 100;
    const SteadyTime deadline = call->request.deadline;
    const auto responseEnd = [&] {
        const SteadyTime end
            = call->isResponseArriving ? timeLimit(call->request).latestEnd() : call->request.responseDeadline;
        return end + responseGracePeriod;
    };
    bool mustSend = true;
    bool hasHedged = false;
    Purpose purpose = Purpose::Primary;
    Response fallback = Response::notRun(Reason::NoEndpoint);

    for (;;) {
        // Send the request to one more backend server.
        if (mustSend && call->isAwaited()) {
            mustSend = false;
            auto attempt = std::make_shared<Attempt>();
            attempt->request = call->request;
            attempt->request.isRetry = call->attemptCount > 0;
            if (attempt->request.isRetry)
                attempt->request.retryProbability = 1;
            bool hasToken = Quotas::trySpend(call->quota);
            if (!hasToken)
                hasToken = co_await m_quotas.spendAnother(call->quota);
            const BackendEntry* entry = nullptr;
            if (hasToken)
                entry = co_await chooseBackendServer(*call, attempt->request, purpose);
            if (entry && !isStillAuthenticated(*call, attempt->request, fallback))
                entry = nullptr;
            if (entry && purpose == Purpose::Hedge && !mayRetry(*call, RetryReason::Hedge, RetryReport()))
                entry = nullptr;
            purpose = Purpose::Primary;
            if (entry && call->isAwaited()) {
                attempt->ip = entry->address.ip;
                attempt->incarnation = entry->incarnation();
                call->attemptedNodes.push_back(attempt->ip);
                call->attempts.push_back(attempt);
                ++call->attemptCount;
                ++call->offers;
                asio::co_spawn(m_executor, this->runAttempt(call, attempt), asio::detached);
            } else if (hasToken) {
                Quotas::refund(call->quota);
            }
        }

        // Process the responses that have arrived.
        bool hasPendingAttempt = false;
        for (const auto& attempt : call->attempts) {
            if (attempt->isProcessed)
                continue;
            if (!attempt->response) {
                hasPendingAttempt = true;
                continue;
            }
            attempt->isProcessed = true;
            Response& response = *attempt->response;
            const bool isSuccess = response.kind == Response::Kind::Served && response.status < 500;
            if (isSuccess) {
                call->response = std::move(response);
                break;
            }
            if (response.kind == Response::Kind::NotRun) {
                ++m_counters.offersRefused;
                // An attempt that never reached a backend server is not counted.
                if (!response.wasSent) {
                    --call->attemptCount;
                    Quotas::refund(call->quota);
                }
                const bool mayOffer = call->offers < m_settings.maxOffers
                    && (response.wasSent ? mayRetry(*call, RetryReason::AfterRefusal, response.retryReport)
                                         : call->attemptCount < call->route->maxAttempts);
                mustSend = mustSend || mayOffer;
            } else if (isIdempotentCall && call->isAwaited() && m_clock.now() < deadline
                && mayRetry(*call, RetryReason::AfterConnectionLost, response.retryReport)) {
                mustSend = true;
            }
            // Prefer a backend server's response to an unknown outcome, and an unknown outcome to a refusal.
            const bool isPreferred = response.kind == Response::Kind::Served || fallback.kind == Response::Kind::NotRun;
            if (isPreferred)
                fallback = std::move(response);
        }
        if (call->response)
            break;
        if (mustSend && call->isAwaited() && m_clock.now() < deadline)
            continue;
        if (!call->isAwaited() || !hasPendingAttempt || m_clock.now() >= responseEnd()) {
            if (hasPendingAttempt && call->isCallerDisconnected)
                fallback = Response::unknown(Reason::CancelledWhileRunning);
            else if (hasPendingAttempt)
                fallback = Response::unknown(call->hasWaitEnded ? Reason::Draining : Reason::DeadlineWhileRunning);
            call->response = std::move(fallback);
            break;
        }

        // Wait for a response, the time to hedge, or the deadline.
        const SteadyTime hedgeAt = call->startedAt + hedgeAfter;
        const bool mayHedge = isIdempotentCall && !hasHedged && call->attemptCount < call->route->maxAttempts;
        call->wakeTimer.expires_at(mayHedge && hedgeAt < deadline ? hedgeAt : responseEnd());
        co_await call->wakeTimer.async_wait(asTuple);
        if (mayHedge && call->isAwaited() && m_clock.now() >= hedgeAt && m_clock.now() < deadline) {
            hasHedged = true;
            const bool isStillPending = std::any_of(call->attempts.begin(), call->attempts.end(),
                [](const auto& attempt) { return !attempt->isProcessed && !attempt->response; });
            if (isStillPending) {
                mustSend = true;
                purpose = Purpose::Hedge;
            }
        }
    }

    for (const auto& attempt : call->attempts)
        attempt->cancellation.cancel();
    m_quotas.close(call->quota);
}

std::chrono::milliseconds CallerPath::retryAfter()
{
    // Add jitter, so that refused callers do not retry at the same time.
    const auto span = m_settings.maxRetryAfter - m_settings.minRetryAfter;
    return m_settings.minRetryAfter + std::chrono::milliseconds(m_random.below(static_cast<uint64_t>(span.count())));
}

asio::awaitable<bool> CallerPath::writeLocalResponse(RequestConnection& connection, unsigned status,
    const std::string& callId, Reason reason, std::chrono::milliseconds quotaRetryAfter)
{
    if (!connection.isTurn()) {
        connection.shrinkMemory(0);
        const bool isTurn = co_await connection.waitForTurn();
        if (!isTurn)
            co_return false;
    }
    std::string head = hop_codec::statusLine(status);
    if (!callId.empty())
        head.append(m_names.callId).append(": ").append(callId).append("\r\n");
    head.append("Snipeweir-Reason: ").append(reasonName(reason)).append("\r\n");
    if (status == 503 || status == 429) {
        ++m_counters.refused;
        std::array<char, 16> seconds {};
        std::snprintf(seconds.data(), seconds.size(), "%.3f",
            std::chrono::duration<double>(status == 429 ? quotaRetryAfter : retryAfter()).count());
        head.append("Retry-After: ").append(seconds.data()).append("\r\n");
    } else if (status == 401) {
        ++m_counters.failed;
        head.append("WWW-Authenticate: ").append(m_names.authorizationScheme).append("\r\n");
    } else {
        ++m_counters.failed;
    }
    co_return co_await connection.writeComplete(std::move(head), std::string(), m_clock.now() + writeTimeout);
}

asio::awaitable<bool> CallerPath::writeResponse(RequestConnection& connection, Call& call)
{
    Response& response = *call.response;
    ResponseTimeLimit limit = timeLimit(call.request);
    // The response has waited for its turn, and the rest of it can't be read any more.
    if (response.rest && m_clock.now() >= limit.latestEnd())
        response = Response::unknown(Reason::DeadlineWhileRunning);
    if (response.kind == Response::Kind::NotRun)
        co_return co_await writeLocalResponse(connection,
            response.status = CallerAuthentication::statusFor(response.reason), call.request.id.text(),
            response.reason);
    if (response.kind == Response::Kind::Unknown) {
        const bool isLate = m_clock.now() >= call.request.deadline || response.reason == Reason::DeadlineWhileRunning
            || response.reason == Reason::Draining;
        response.status = isLate ? 504 : 502;
        co_return co_await writeLocalResponse(connection, response.status, call.request.id.text(), response.reason);
    }

    ++m_counters.served;
    std::string head = hop_codec::statusLine(response.status);
    hop_codec::appendFields(head, response.headers);
    std::optional<size_t> bytes = response.body.size();
    bool isWritten = false;
    if (!response.rest) {
        isWritten = co_await connection.writeComplete(std::move(head), response.body, m_clock.now() + writeTimeout);
    } else {
        bytes = std::max<size_t>(response.body.size(), response.rest->contentLength().value_or(0));
        isWritten = co_await connection.writeStreamed(
            std::move(head), std::move(response.body), *response.rest, limit, m_clock);
        response.rest.reset();
        if (!isWritten && m_clock.now() >= limit.end())
            response.reason = Reason::DeadlineWhileRunning;
        // Until the body is there its length is only a claim.
        if (!isWritten)
            bytes.reset();
    }
    if (response.status < 300)
        m_statistics.add(*call.route, call.request.service, response.serviceTime, response.slownessPercent, bytes);
    co_return isWritten;
}

}

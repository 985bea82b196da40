#include "snipeweir/relay/CallerPath.h"

#include "snipeweir/relay/CallerCall.h"
#include "snipeweir/relay/HopCodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace snipeweir {

namespace {

    using End = HttpExchange::End;

    /// Deadline of a caller that names none.
    constexpr std::chrono::milliseconds defaultDeadline { 10'000 };
    /// Body bytes collected before an answer goes to the caller; a broken short answer can then still be repeated.
    constexpr size_t collectedBytes = 64U << 10U;
    /// Extra time for an answer that the backend server gave at its deadline to arrive.
    constexpr std::chrono::milliseconds answerSlack { 40 };
    constexpr std::chrono::milliseconds writeTimeout { 5000 };

    template <typename Duration> std::string microsecondsText(Duration time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(time).count());
    }

}

CallerPath::CallerPath(const asio::any_io_executor& executor, const Clock& clock, Settings settings,
    const RelaySettings& node, const WireNames& names, const FleetView& view, PeerLoads& peers, ServerPath& server,
    BodyMemory& bodyMemory, JsonLog& log, Metrics& metrics, uint64_t seed)
    : m_executor(executor)
    , m_clock(clock)
    , m_settings(settings)
    , m_node(node)
    , m_names(names)
    , m_view(view)
    , m_peers(peers)
    , m_server(server)
    , m_bodyMemory(bodyMemory)
    , m_log(log)
    , m_metrics(metrics)
    , m_random(seed)
    , m_placement(Placement::Settings())
    , m_splitter(seed + 1)
    , m_pool(executor, clock, ConnectionPool::Settings())
{
}

asio::awaitable<void> CallerPath::serve(asio::ip::tcp::socket socket)
{
    CallerConnection connection(std::move(socket), m_bodyMemory);
    while (connection.canGoOn()) {
        const auto routes = m_view.routes();
        const CallerLimits limits = routes ? routes->configuration().limits : CallerLimits();
        const auto end = co_await connection.read(limits);
        if (end == CallerConnection::ReadEnd::Closed)
            break;
        ++m_inFlight;
        if (end == CallerConnection::ReadEnd::Rejected) {
            const bool isFull = connection.rejection() == 503;
            co_await writeOwn(
                connection, connection.rejection(), {}, isFull ? Reason::ServerLimit : Reason::BadRequest);
            --m_inFlight;
            break;
        }
        if (m_isDraining)
            connection.closeAfterAnswer();
        co_await serveOne(connection);
        --m_inFlight;
    }
    connection.close();
}

asio::awaitable<void> CallerPath::serveOne(CallerConnection& connection)
{
    ++m_counters.requests;
    CallerConnection::Request& message = connection.request();
    auto call = std::make_shared<Call>(m_executor);
    call->startedAt = m_clock.now();
    call->routes = m_view.routes();
    const std::string id(message[m_names.callId]);
    if (!call->routes || m_isStopped) {
        co_await writeOwn(connection, 503, id, m_isStopped ? Reason::Draining : Reason::NoConfiguration);
        co_return;
    }
    const std::string_view target(message.target().data(), message.target().size());
    const std::string host(message[boost::beast::http::field::host]);
    call->route = call->routes->find(host, target);
    if (!call->route || id.empty()) {
        co_await writeOwn(
            connection, call->route ? 400 : 404, id, call->route ? Reason::BadRequest : Reason::UnknownService);
        co_return;
    }

    // Work out the times that bind the request.
    const Route& route = *call->route;
    const auto deadline = parseUnsigned(std::string(message[m_names.deadline]));
    const auto patience
        = deadline ? std::chrono::milliseconds(std::min<uint64_t>(*deadline, 3'600'000)) : defaultDeadline;
    call->patience = patience;
    RelayRequest& request = call->request;
    request.deadline = call->startedAt + patience;
    if (route.timeout.count() > 0)
        request.deadline = std::min(request.deadline, call->startedAt + route.timeout);
    // What is late for certain makes room for what can be on time.
    auto& usualPatience = m_patience.try_emplace(route.name, CallerPatience::Settings()).first->second;
    call->isLate = deadline && usualPatience.isLate(patience, route.targetLatency);
    request.targetAt = call->isLate ? call->startedAt : call->startedAt + route.targetLatency;

    request.method = std::string(message.method_string());
    request.target = std::string(target);
    request.headers = hop_codec::passedFields(
        message, { m_names.callId, m_names.deadline, m_names.expectedInstance, m_names.callerService });
    request.body = connection.takeBody();
    request.id = CallId(id);
    request.callerService = m_node.service;
    request.kind = route.kind;
    request.priority = route.priority;
    request.service = m_splitter.next(route);
    request.work = std::chrono::microseconds(static_cast<int64_t>(m_statistics.find(route, request.service).work));

    connection.watchForLeave([weak = std::weak_ptr(call)] {
        if (const auto left = weak.lock()) {
            left->hasLeft = true;
            left->wake.cancel();
        }
    });
    co_await relay(call);
    connection.stopWatching();

    const bool isWritten = !call->hasLeft && co_await writeAnswer(connection, *call);
    logAnswer(*call, isWritten);
    if (call->hasLeft)
        ++m_counters.left;
}

void CallerPath::logAnswer(const Call& call, bool isWritten)
{
    const Answer& answer = *call.answer;
    Outcome outcome = Outcome::Unknown;
    JsonLog::Weight weight = JsonLog::Weight::Odd;
    if (answer.kind == Answer::Kind::Served) {
        outcome = Outcome::Done;
        if (answer.status < 500 && isWritten)
            weight = JsonLog::Weight::Ordinary;
    } else if (answer.kind == Answer::Kind::NotRun) {
        outcome = Outcome::NotRun;
        weight = JsonLog::Weight::Refusal;
    }
    std::string nodes;
    for (const std::string& ip : call.tried)
        nodes.append(nodes.empty() ? "" : ",").append(ip);
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - call.startedAt);
    m_metrics.countOutcome(outcome, answer.reason);
    m_metrics.observeLatency("calling", took);
    m_log.request(weight, "answered", call.request.id,
        { { "route", call.route->name }, { "service", call.request.service.text() },
            { "outcome", std::string(outcomeName(outcome)) }, { "status", std::to_string(answer.status) },
            { "reason", std::string(reasonName(answer.reason)) }, { "left", call.hasLeft ? "true" : "false" },
            { "written", isWritten ? "true" : "false" }, { "nodes", nodes }, { "sends", std::to_string(call.sends) },
            { "late", call.isLate ? "true" : "false" }, { "patience_ms", std::to_string(call.patience.count()) },
            { "took_us", std::to_string(took.count()) },
            { "configuration", std::to_string(call.routes->configuration().version.value) },
            { "backends_revision", std::to_string(m_view.backendRevision().value) } });
}

RetryBudget& CallerPath::budget(const ServiceName& service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    // All nodes share one budget without asking each other: each uses at most its even share.
    const size_t nodes = std::max<size_t>(1, m_view.backends().size());
    RetryBudget::Limits limits;
    limits.maxBalance
        = static_cast<uint32_t>(std::max<size_t>(1, m_node.repeatExtra * m_settings.budgetSharePercent / 100 / nodes));
    limits.advance = limits.maxBalance;
    return m_budgets.emplace(service, RetryBudget(m_node.repeatPercent * m_settings.budgetSharePercent / 100, limits))
        .first->second;
}

bool CallerPath::mayRepeat(Call& call, RetryReason reason)
{
    RetryReason decision = reason;
    if (call.sends >= call.route->maxAttempts)
        decision = RetryReason::DeniedByAttempts;
    else if (!budget(call.request.service).take())
        decision = RetryReason::DeniedByBudget;
    m_metrics.countRetry(decision);
    m_log.request(JsonLog::Weight::Odd, decision == reason ? "repeat" : "repeat_denied", call.request.id,
        { { "why", std::string(retryReasonName(reason)) }, { "decision", std::string(retryReasonName(decision)) },
            { "sends", std::to_string(call.sends) },
            { "after_us", microsecondsText(m_clock.now() - call.startedAt) } });
    return decision == reason;
}

asio::awaitable<Answer> CallerPath::sendToPeer(
    const RelayRequest& request, const std::string& ip, Cancellation& cancellation)
{
    const Address to { ip, m_node.peers.port };
    auto connection = co_await m_pool.acquire(to, m_pool.settings().maxIdle, request.deadline);
    if (!connection) {
        m_peers.peer(ip).unanswered += 1;
        co_return Answer::notRun(Reason::EndpointUnreachable);
    }
    if (cancellation.isCancelled())
        co_return Answer::notRun(Reason::CancelledBeforeStart);
    auto exchange = std::make_shared<HttpExchange>(m_pool, std::move(connection));
    cancellation.setHook([weak = std::weak_ptr(exchange)] {
        if (const auto current = weak.lock())
            current->cancel();
    });
    const SteadyTime deadline = request.deadline + answerSlack;
    End end = co_await exchange->send(
        hop_codec::requestHead(request, m_names.callId, m_clock.now()), request.bodyText(), deadline);
    if (end == End::Complete)
        end = co_await exchange->readHead(deadline);
    std::optional<Answer> answer;
    if (end == End::Complete)
        answer = hop_codec::decodeAnswer(*exchange);
    if (answer && end == End::Complete) {
        end = co_await exchange->readBodyUpTo(answer->body, collectedBytes, deadline);
        if (end == End::More)
            answer->rest = exchange;
    }
    cancellation.setHook({});
    if (answer && (end == End::Complete || end == End::More)) {
        if (answer->kind != Answer::Kind::Served)
            answer->body.clear();
        co_return std::move(*answer);
    }
    if (cancellation.isCancelled())
        co_return Answer::unknown(Reason::CancelledWhileRunning);
    co_return Answer::unknown(end == End::TimedOut ? Reason::DeadlineWhileRunning : Reason::ConnectionLost);
}

asio::awaitable<void> CallerPath::attempt(std::shared_ptr<Call> call, std::shared_ptr<Attempt> attempt)
{
    if (attempt->ip == m_node.peers.ip)
        attempt->answer = co_await m_server.run(attempt->request, attempt->cancellation);
    else
        attempt->answer = co_await sendToPeer(attempt->request, attempt->ip, attempt->cancellation);
    call->wake.cancel();
}

asio::awaitable<void> CallerPath::relay(const std::shared_ptr<Call>& call)
{
    const bool isRepeatableCall = isRepeatable(call->request.kind);
    const auto hedgeAfter = call->route->targetLatency * m_settings.hedgeAfterPercent / 100;
    const SteadyTime deadline = call->request.deadline;
    budget(call->request.service).onFirstTry();
    bool mustSend = true;
    bool hasHedged = false;
    Purpose purpose = Purpose::Answer;
    Answer last = Answer::notRun(Reason::NoEndpoint);

    for (;;) {
        // Offer the request to one more backend server.
        if (mustSend && !call->hasLeft) {
            mustSend = false;
            auto attempt = std::make_shared<Attempt>();
            attempt->request = call->request;
            const BackendEntry* entry = co_await choose(*call, attempt->request, purpose);
            if (entry && purpose == Purpose::Hedge && !mayRepeat(*call, RetryReason::Hedge))
                entry = nullptr;
            purpose = Purpose::Answer;
            if (entry && !call->hasLeft) {
                attempt->ip = entry->address.ip;
                call->tried.push_back(attempt->ip);
                call->attempts.push_back(attempt);
                ++call->sends;
                ++call->offers;
                asio::co_spawn(m_executor, this->attempt(call, attempt), asio::detached);
            }
        }

        // Take the answers that have come.
        bool isOpen = false;
        for (const auto& attempt : call->attempts) {
            if (attempt->isTaken)
                continue;
            if (!attempt->answer) {
                isOpen = true;
                continue;
            }
            attempt->isTaken = true;
            Answer& answer = *attempt->answer;
            const bool isGood = answer.kind == Answer::Kind::Served && answer.status < 500;
            if (isGood) {
                call->answer = std::move(answer);
                break;
            }
            if (answer.kind == Answer::Kind::NotRun) {
                ++m_counters.offersRefused;
                // What never reached a backend server is no send.
                if (!answer.wasSent)
                    --call->sends;
                const bool mayOffer = call->offers < m_settings.maxOffers
                    && (answer.wasSent ? mayRepeat(*call, RetryReason::AfterRefusal)
                                       : call->sends < call->route->maxAttempts);
                mustSend = mustSend || mayOffer;
            } else if (isRepeatableCall && !call->hasLeft && m_clock.now() < deadline
                && mayRepeat(*call, RetryReason::AfterConnectionLost)) {
                mustSend = true;
            }
            // An answer of a backend server goes before a guess, and a guess before a refusal.
            const bool isBetter = answer.kind == Answer::Kind::Served || last.kind == Answer::Kind::NotRun;
            if (isBetter)
                last = std::move(answer);
        }
        if (call->answer)
            break;
        if (mustSend && !call->hasLeft && m_clock.now() < deadline)
            continue;
        if (call->hasLeft || !isOpen || m_clock.now() >= deadline + answerSlack) {
            if (isOpen)
                last = Answer::unknown(call->hasLeft ? Reason::CancelledWhileRunning : Reason::DeadlineWhileRunning);
            call->answer = std::move(last);
            break;
        }

        // Wait for an answer, the moment to send once more, or the deadline.
        const SteadyTime hedgeAt = call->startedAt + hedgeAfter;
        const bool mayHedge = isRepeatableCall && !hasHedged && call->sends < call->route->maxAttempts;
        call->wake.expires_at(mayHedge && hedgeAt < deadline ? hedgeAt : deadline + answerSlack);
        co_await call->wake.async_wait(asTuple);
        if (mayHedge && !call->hasLeft && m_clock.now() >= hedgeAt && m_clock.now() < deadline) {
            hasHedged = true;
            const bool isStillOpen = std::any_of(call->attempts.begin(), call->attempts.end(),
                [](const auto& attempt) { return !attempt->isTaken && !attempt->answer; });
            if (isStillOpen) {
                mustSend = true;
                purpose = Purpose::Hedge;
            }
        }
    }

    for (const auto& attempt : call->attempts)
        attempt->cancellation.cancel();
}

std::chrono::milliseconds CallerPath::retryAfter()
{
    // Spread the returns, so that refused callers don't come back together.
    const auto span = m_settings.mostRetryAfter - m_settings.leastRetryAfter;
    return m_settings.leastRetryAfter + std::chrono::milliseconds(m_random.below(static_cast<uint64_t>(span.count())));
}

asio::awaitable<bool> CallerPath::writeOwn(
    CallerConnection& connection, unsigned status, const std::string& callId, Reason reason)
{
    std::string head = hop_codec::statusLine(status);
    if (!callId.empty())
        head.append(m_names.callId).append(": ").append(callId).append("\r\n");
    head.append("Snipeweir-Reason: ").append(reasonName(reason)).append("\r\n");
    if (status == 503) {
        ++m_counters.refused;
        std::array<char, 16> seconds {};
        std::snprintf(seconds.data(), seconds.size(), "%.3f", std::chrono::duration<double>(retryAfter()).count());
        head.append("Retry-After: ").append(seconds.data()).append("\r\n");
    } else {
        ++m_counters.failed;
    }
    co_return co_await connection.writeWhole(std::move(head), std::string(), m_clock.now() + writeTimeout);
}

asio::awaitable<bool> CallerPath::writeAnswer(CallerConnection& connection, Call& call)
{
    Answer& answer = *call.answer;
    if (answer.kind == Answer::Kind::NotRun)
        co_return co_await writeOwn(connection, answer.status = 503, call.request.id.text(), answer.reason);
    if (answer.kind == Answer::Kind::Unknown) {
        const bool isLate = m_clock.now() >= call.request.deadline || answer.reason == Reason::DeadlineWhileRunning;
        answer.status = isLate ? 504 : 502;
        co_return co_await writeOwn(connection, answer.status, call.request.id.text(), answer.reason);
    }

    ++m_counters.served;
    std::string head = hop_codec::statusLine(answer.status);
    hop_codec::appendFields(head, answer.headers);
    size_t bytes = answer.body.size();
    bool isWritten = false;
    if (!answer.rest) {
        isWritten = co_await connection.writeWhole(std::move(head), answer.body, m_clock.now() + writeTimeout);
    } else {
        bytes = std::max<size_t>(bytes, answer.rest->contentLength().value_or(0));
        isWritten = co_await connection.writeStreamed(
            std::move(head), std::move(answer.body), *answer.rest, call.request.deadline + writeTimeout, m_clock);
        answer.rest.reset();
    }
    if (answer.status < 300)
        m_statistics.add(*call.route, call.request.service, answer.run, answer.slownessPercent, bytes);
    co_return isWritten;
}

}

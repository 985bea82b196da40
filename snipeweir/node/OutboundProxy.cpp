#include "snipeweir/node/OutboundProxy.h"

#include "snipeweir/node/CallAttempt.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace snipeweir {

namespace {

    constexpr std::chrono::milliseconds singleStepWait { 20 };
    constexpr std::chrono::milliseconds concurrentStepWait { 1 };
    constexpr size_t cancellationQueueSize = 256;
    constexpr std::chrono::milliseconds keyIssueTimeout { 500 };
    constexpr std::chrono::milliseconds keyIssueRetryInterval { 10 };
    constexpr int maxSuccessors = 3;
    constexpr size_t maxRefusalBodyBytes = 4096;

    std::chrono::milliseconds remainingUntil(SteadyTime deadline, SteadyTime now)
    {
        return std::max(std::chrono::milliseconds(0), std::chrono::floor<std::chrono::milliseconds>(deadline - now));
    }

}

OutboundProxy::OutboundProxy(OutboundProxyDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_cancellations(cancellationQueueSize)
    , m_cancellationThread([this] { sendQueuedCancellations(); })
{
}

OutboundProxy::~OutboundProxy()
{
    m_isStopping = true;
    m_cancellations.close();
    m_cancellationThread.join();
}

void OutboundProxy::sendQueuedCancellations()
{
    while (!m_isStopping) {
        const auto cancellation = m_cancellations.pop(std::chrono::milliseconds(200));
        if (!cancellation)
            continue;
        if (!m_dependencies.sendCancellation)
            continue;
        m_dependencies.sendCancellation(cancellation->first, cancellation->second);
        m_dependencies.metrics.count("snipeweir_cancellations_sent_total");
    }
}

CallId OutboundProxy::newCallId()
{
    std::array<char, 40> text {};
    auto* end = std::to_chars(text.data(), text.data() + 16, m_dependencies.idSeed & 0xFFFFFFFFU, 16).ptr;
    *end++ = '-';
    end = std::to_chars(end, text.data() + text.size(), m_nextCallNumber++, 16).ptr;
    return CallId(std::string(text.data(), end));
}

bool OutboundProxy::cancel(const CallId& id) { return m_activeCalls.cancel(id); }

void OutboundProxy::handle(HttpServerExchange& exchange)
{
    const auto refuse = [&](const CallId& id, Reason reason) {
        const Outcome outcome = outcomeOfRefusal(exchange);
        m_dependencies.metrics.countOutcome(outcome, reason);
        respondOutcome(exchange, id, outcome, reason);
    };
    const CallId newId = newCallId();
    if (m_isDraining)
        return refuse(newId, Reason::Draining);
    const auto view = m_dependencies.services.view();
    if (!view->isUsable())
        return refuse(newId, Reason::NoConfiguration);

    // Parse the request to find the called service, then again under that service's policy.
    auto read = parseCall(exchange, CallOrigin::Caller, Policy {}, newId);
    if (const auto* refusal = std::get_if<CallRefusal>(&read))
        return refuse(newId, refusal->reason);
    CallContext context = std::get<CallContext>(std::move(read));
    CalledService* service = m_dependencies.services.findOrCreate(context.service);
    if (!service)
        return refuse(context.id, Reason::UnknownService);
    const Policy policy = service->policy();
    context = std::get<CallContext>(parseCall(exchange, CallOrigin::Caller, policy, context.id));
    auto body = readRequestBody(exchange, policy, context.deadline);
    if (const auto* refusal = std::get_if<CallRefusal>(&body))
        return refuse(context.id, refusal->reason);
    PauseDetector& detector = m_dependencies.pauseDetector;
    if (!detector.mayStart(exchange.beganAt()) || detector.hasPausedSince(exchange.connectionIdleSince())
        || !detector.isViewFresh())
        return refuse(context.id, Reason::ProcessPaused);

    CallRegistry::Registration registration(m_activeCalls, context.id);
    Call call { exchange, std::move(context), std::get<std::string>(std::move(body)), registration.entry(), *service,
        policy };
    route(call);
    m_dependencies.metrics.observeLatency("calling",
        std::chrono::duration_cast<std::chrono::microseconds>(m_dependencies.clock.now() - call.context.receivedAt));
}

void OutboundProxy::route(Call& call)
{
    if (call.context.kind == RequestKind::Idempotent)
        return routeIdempotent(call);
    if (call.context.idempotencyKey.empty())
        return issueKey(call);
    routeKeyed(call);
}

void OutboundProxy::record(const Call& call, DecisionRecord::Kind kind, const VmId& vm, Outcome outcome, Reason reason,
    RetryReason retryReason)
{
    DecisionRecord record;
    record.call = call.context.id;
    record.kind = kind;
    record.at = m_dependencies.clock.now();
    record.attempt = std::max(1U, call.attemptCount);
    record.vm = vm;
    record.outcome = outcome;
    record.reason = reason;
    record.retryReason = retryReason;
    m_dependencies.decisions.append(record);
}

void OutboundProxy::finishCall(Call& call, Outcome outcome, Reason reason)
{
    record(call, DecisionRecord::Kind::Finished, call.winner ? call.winner->vm : VmId(), outcome, reason);
    m_dependencies.metrics.countOutcome(outcome, reason);
    call.isFinished = true;
    if (outcome == Outcome::Done)
        return;
    if (call.exchange.hasStartedResponse())
        call.exchange.abort();
    else
        respondOutcome(call.exchange, call.context.id, outcome, reason);
}

std::optional<Address> OutboundProxy::internalAddress(const VmId& vm) const
{
    const auto view = m_dependencies.services.view();
    const VmRecord* record = view->vmList ? view->vmList->find(vm) : nullptr;
    if (!record)
        return std::nullopt;
    return Address { record->ip, record->internalPort };
}

std::unique_ptr<OutboundProxy::Attempt> OutboundProxy::startAttempt(
    Call& call, const EndpointChoice& choice, std::vector<HttpHeader> extraHeaders)
{
    const auto to = internalAddress(choice.vm);
    if (!to)
        return nullptr;
    ++call.attemptCount;
    DecisionRecord chosen;
    chosen.call = call.context.id;
    chosen.at = m_dependencies.clock.now();
    chosen.attempt = call.attemptCount;
    chosen.vm = choice.vm;
    chosen.considered = choice.considered;
    m_dependencies.decisions.append(chosen);

    auto attempt = std::make_unique<Attempt>();
    attempt->vm = choice.vm;
    attempt->address = *to;
    attempt->id = CallId(call.context.id.text() + "." + std::to_string(call.attemptCount));
    attempt->sentAt = m_dependencies.clock.now();

    // Build the request: the caller's end-to-end headers, and those that the serving node needs.
    HttpRequest request;
    request.to = *to;
    request.method = call.context.method;
    request.target = "/services/" + call.context.service.text() + call.context.target;
    request.body = call.body;
    request.deadline = call.context.deadline;
    request.connectTimeout = call.policy.connectTimeout;
    request.noProgressTimeout = call.policy.noProgressTimeout;
    for (const auto& header : call.exchange.headers()) {
        const bool isReserved
            = header.name.starts_with("Snipeweir-") || header.name == "Idempotency-Key" || header.name == "Host";
        if (!isReserved && !isHopByHopHeader(header.name))
            request.headers.push_back(header);
    }
    request.headers.push_back({ "Snipeweir-Call-Id", attempt->id.text() });
    request.headers.push_back(
        { "Snipeweir-Deadline-Ms", std::to_string(remainingUntil(call.context.deadline, attempt->sentAt).count()) });
    request.headers.push_back({ "Snipeweir-Class", std::string(callClassName(call.context.callClass)) });
    request.headers.push_back({ "Snipeweir-Depth", std::to_string(call.context.depth) });
    request.headers.push_back({ "Snipeweir-Target-Vm", choice.vm.text() });
    for (auto& header : extraHeaders)
        request.headers.push_back(std::move(header));

    TransferHooks hooks;
    Attempt* raw = attempt.get();
    hooks.onHead = [this, &call, raw](const HttpResponseHead& head) { return onHead(call, *raw, head); };
    hooks.onBody = [&call, raw](std::string_view piece) {
        if (raw->isDone)
            return call.exchange.writeBody(piece);
        raw->refusalBodyBytes += piece.size();
        return raw->refusalBodyBytes <= maxRefusalBodyBytes;
    };
    hooks.onWait = [&call] { return !call.registryEntry.isCancelled; };
    call.service.onSent(choice.vm);
    attempt->transfer = m_dependencies.client.start(std::move(request), std::move(hooks));
    return attempt;
}

bool OutboundProxy::onHead(Call& call, Attempt& attempt, const HttpResponseHead& head)
{
    // A response must belong to this attempt and report its outcome.
    const auto id = head.header("Snipeweir-Call-Id");
    const auto outcome = outcomeFromName(head.header("Snipeweir-Outcome").value_or(""));
    const auto reason = reasonFromName(head.header("Snipeweir-Reason").value_or(""));
    if (!outcome || !reason || (id != attempt.id.text() && (id != "none" || *outcome == Outcome::Done)))
        return false;
    attempt.hasResponseHead = true;
    attempt.outcome = *outcome;
    attempt.reason = *reason;
    attempt.loadReport = LoadReport::fromHeader(head.header("Snipeweir-Load").value_or(""));
    attempt.successorKey = head.header("Snipeweir-Successor-Key").value_or("");
    if (*outcome != Outcome::Done)
        return true;

    // The response of the first attempt with outcome done is forwarded; later ones are aborted.
    if (call.winner)
        return false;
    call.winner = &attempt;
    attempt.isDone = true;
    std::vector<HttpHeader> headers;
    for (const auto& header : head.headers) {
        const bool isInternal = header.name == "Snipeweir-Load" || header.name == "Snipeweir-Call-Id";
        if (!isInternal && !isHopByHopHeader(header.name))
            headers.push_back(header);
    }
    headers.push_back({ "Snipeweir-Call-Id", call.context.id.text() });
    return call.exchange.startBody(head.status, headers, head.contentLength);
}

void OutboundProxy::completeAttempt(Call& call, Attempt& attempt, TransferEnd end)
{
    const auto latency
        = std::chrono::duration_cast<std::chrono::microseconds>(m_dependencies.clock.now() - attempt.sentAt);
    CallResult result { CallResult::Kind::Lost, latency };
    const bool isComplete = end == TransferEnd::Complete && attempt.hasResponseHead;
    if (isComplete && attempt.isDone)
        result.kind = attempt.transfer->head().status >= 500 ? CallResult::Kind::Failed : CallResult::Kind::Succeeded;
    else if (isComplete && attempt.outcome == Outcome::NotRun)
        result.kind = CallResult::Kind::Refused;
    else if (isComplete)
        result.kind = CallResult::Kind::Failed;
    call.service.onFinished(attempt.vm, result, attempt.loadReport);

    // Without a complete response, the outcome is derived from how the transfer ended.
    attempt.retryReason = RetryReason::AfterRefusal;
    if (!isComplete) {
        attempt.outcome = Outcome::Unknown;
        switch (end) {
        case TransferEnd::ConnectFailed:
            attempt.outcome = Outcome::NotRun;
            attempt.reason = Reason::EndpointUnreachable;
            attempt.retryReason = RetryReason::AfterConnectFailure;
            attempt.hasReachedNode = false;
            break;
        case TransferEnd::NoProgress:
            attempt.reason = Reason::NoProgress;
            attempt.retryReason = RetryReason::AfterNoProgress;
            break;
        case TransferEnd::DeadlinePassed:
            attempt.reason = Reason::DeadlineWhileRunning;
            break;
        case TransferEnd::Aborted:
            attempt.reason = call.registryEntry.isCancelled ? Reason::CancelledWhileRunning : Reason::ConnectionLost;
            break;
        default:
            attempt.reason = end == TransferEnd::Malformed ? Reason::MalformedResponse : Reason::ConnectionLost;
            attempt.retryReason = RetryReason::AfterConnectionLost;
        }
        if (end == TransferEnd::Aborted || end == TransferEnd::DeadlinePassed)
            cancelAttempt(call, attempt);
    }
    const bool isUnresponsive
        = end == TransferEnd::ConnectFailed || end == TransferEnd::NoProgress || end == TransferEnd::ConnectionLost;
    if (m_dependencies.onReachability && (attempt.hasResponseHead || isUnresponsive))
        m_dependencies.onReachability(attempt.vm, attempt.hasResponseHead);

    if (call.winner == &attempt) {
        if (isComplete) {
            call.exchange.finishBody();
            finishCall(call, Outcome::Done, Reason::None);
        } else
            finishCall(call, Outcome::Unknown, Reason::ResponseTruncated);
        return;
    }
    record(call, attempt.outcome == Outcome::NotRun ? DecisionRecord::Kind::Refused : DecisionRecord::Kind::Lost,
        attempt.vm, attempt.outcome, attempt.reason);
    call.hasLastResponse = isComplete;
    call.lastOutcome = attempt.outcome;
    call.lastReason = attempt.reason;
    call.lastRetryReason = attempt.retryReason;
    call.lastSuccessorKey = attempt.successorKey;
    call.hasReachedNode = call.hasReachedNode || attempt.hasReachedNode;
}

void OutboundProxy::cancelAttempt(Call& call, Attempt& attempt)
{
    if (call.context.kind == RequestKind::Idempotent)
        m_cancellations.push({ attempt.address, attempt.id });
}

void OutboundProxy::startHedge(Call& call, std::vector<std::unique_ptr<Attempt>>& attempts, SteadyTime sentAt)
{
    HedgeRequest request;
    request.kind = call.context.kind;
    request.waited = std::chrono::duration_cast<std::chrono::milliseconds>(m_dependencies.clock.now() - sentAt);
    request.attempts = call.attemptCount;
    request.remaining = remainingUntil(call.context.deadline, m_dependencies.clock.now());
    const HedgeDecision decision = call.service.decideHedge(request);
    if (!decision.isGranted) {
        if (decision.decideAgainAfter.count() == 0)
            m_dependencies.metrics.countRetry(decision.reason);
        return;
    }
    ChooseRequest choose { call.context.callClass, call.triedVms };
    const auto choice = call.service.choose(choose);
    if (!choice)
        return;
    m_dependencies.metrics.countRetry(RetryReason::Hedge);
    record(call, DecisionRecord::Kind::Hedged, choice->vm, Outcome::Unknown, Reason::None, RetryReason::Hedge);
    if (auto attempt = startAttempt(call, *choice, {})) {
        call.triedVms.push_back(choice->vm);
        attempts.push_back(std::move(attempt));
    }
}

void OutboundProxy::runAttempts(Call& call, std::vector<std::unique_ptr<Attempt>>& attempts)
{
    const SteadyTime sentAt = m_dependencies.clock.now();
    const bool mayHedge = call.context.kind == RequestKind::Idempotent && call.policy.hedgeBudgetPercent > 0;
    bool hasHedged = !mayHedge;
    while (!attempts.empty() && !call.isFinished) {
        for (size_t i = 0; i < attempts.size() && !call.isFinished;) {
            const auto wait = attempts.size() > 1 ? concurrentStepWait : singleStepWait;
            const auto untilHedge = remainingUntil(sentAt + call.policy.hedgeDelay, m_dependencies.clock.now());
            const bool isHedgeNear = !hasHedged && !call.winner && untilHedge.count() > 0;
            const auto end = attempts[i]->transfer->step(isHedgeNear ? std::min(wait, untilHedge) : wait);
            if (!end) {
                ++i;
                continue;
            }
            completeAttempt(call, *attempts[i], *end);
            if (!call.isFinished)
                attempts.erase(attempts.begin() + static_cast<std::ptrdiff_t>(i));
        }
        // Once a response is being forwarded, cancel all other attempts.
        if (call.winner) {
            for (size_t i = 0; i < attempts.size();) {
                if (attempts[i].get() == call.winner) {
                    ++i;
                    continue;
                }
                const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
                    m_dependencies.clock.now() - attempts[i]->sentAt);
                call.service.onFinished(attempts[i]->vm, { CallResult::Kind::Succeeded, latency }, std::nullopt);
                cancelAttempt(call, *attempts[i]);
                attempts.erase(attempts.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
        if (!hasHedged && !call.winner && attempts.size() == 1
            && m_dependencies.clock.now() - sentAt >= call.policy.hedgeDelay) {
            hasHedged = true;
            startHedge(call, attempts, sentAt);
        }
    }
}

void OutboundProxy::routeIdempotent(Call& call)
{
    call.service.onFirstAttempt();
    while (true) {
        const auto choice = call.service.choose({ call.context.callClass, call.triedVms });
        if (!choice) {
            record(call, DecisionRecord::Kind::NoEndpoint, VmId(), call.lastOutcome, call.lastReason);
            return finishCall(call, call.lastOutcome, call.lastReason);
        }
        call.triedVms.push_back(choice->vm);
        std::vector<std::unique_ptr<Attempt>> attempts;
        if (auto attempt = startAttempt(call, *choice, {}))
            attempts.push_back(std::move(attempt));
        runAttempts(call, attempts);
        if (call.isFinished)
            return;
        if (call.registryEntry.isCancelled)
            return finishCall(call, call.lastOutcome, call.lastReason);

        RetryRequest request { call.context.kind, call.lastOutcome, call.lastReason, std::max(1U, call.attemptCount),
            remainingUntil(call.context.deadline, m_dependencies.clock.now()), RetryLayer::NextNode };
        const RetryDecision decision = call.service.decideRetry(request);
        m_dependencies.metrics.countRetry(decision.isRetry() ? call.lastRetryReason : decision.reason);
        record(call, decision.isRetry() ? DecisionRecord::Kind::Retried : DecisionRecord::Kind::RetryDenied, choice->vm,
            call.lastOutcome, call.lastReason, decision.reason);
        if (!decision.isRetry())
            return finishCall(call, call.lastOutcome, call.lastReason);
    }
}

std::optional<std::string> OutboundProxy::issueSuccessorKey(Call& call, const VmId& refusingVm)
{
    call.triedVms.push_back(refusingVm);
    const auto choice = call.service.choose({ call.context.callClass, call.triedVms });
    if (!choice || choice->incarnation.value == 0)
        return std::nullopt;
    const std::string text
        = m_dependencies.keyIssuer.issue(call.context.service, choice->vm, choice->incarnation, choice->uptime);
    return text.empty() ? std::nullopt : std::optional<std::string>(text);
}

void OutboundProxy::routeKeyed(Call& call)
{
    call.service.onFirstAttempt();
    const CallerAttempt attempt = call.context.attempt == 1 ? CallerAttempt::First : CallerAttempt::Repeat;
    KeyedCall keyed(call.context.idempotencyKey, attempt, maxSuccessors);
    while (true) {
        // A malformed key can never have run. A key with an unknown secret may have, because the secret may have
        // been removed by a key rotation since.
        std::optional<ErrorCode> failure;
        const IdempotencyKey key = handleErrors([&] { return m_dependencies.keyIssuer.open(keyed.keyText()); },
            [&](const Error& error) {
                failure = error.code;
                return IdempotencyKey {};
            });
        if (failure)
            return finishCall(
                call, *failure == ErrorCode::Unauthenticated ? Outcome::Unknown : Outcome::NotRun, Reason::KeyInvalid);
        if (key.service != call.context.service)
            return finishCall(call, Outcome::NotRun, Reason::KeyInvalid);

        sendKeyed(call, keyed, key);
        if (call.isFinished)
            return;
        const KeyedStep step = call.hasLastResponse
            ? keyed.onResponse(call.lastOutcome, call.lastReason, call.lastSuccessorKey)
            : keyed.onNoResponse(call.lastReason);
        if (step.kind == KeyedStep::Kind::Finish)
            return finishCall(call, step.outcome, step.reason);
        m_dependencies.metrics.countRetry(RetryReason::AfterRefusal);
        record(call, DecisionRecord::Kind::Retried, key.executor, call.lastOutcome, call.lastReason);
    }
}

void OutboundProxy::sendKeyed(Call& call, KeyedCall& keyed, const IdempotencyKey& key)
{
    const auto successor = issueSuccessorKey(call, key.executor);
    while (true) {
        // Never declared as the first attempt on this hop, because libcurl may have resent the request on a new
        // connection.
        std::vector<HttpHeader> extraHeaders { { "Idempotency-Key", keyed.keyText() }, { "Snipeweir-Attempt", "2" } };
        if (successor)
            extraHeaders.push_back({ "Snipeweir-Successor-Key", *successor });
        std::vector<std::unique_ptr<Attempt>> attempts;
        EndpointChoice choice;
        choice.vm = key.executor;
        if (auto attempt = startAttempt(call, choice, std::move(extraHeaders)))
            attempts.push_back(std::move(attempt));
        else {
            call.hasLastResponse = false;
            call.lastReason = Reason::ExecutorGone;
            return;
        }
        runAttempts(call, attempts);
        if (call.hasReachedNode)
            keyed.onSending();
        if (call.isFinished || call.hasLastResponse || call.registryEntry.isCancelled)
            return;

        // No response, for example because the connection was lost: send the same key to its executor again. The retry
        // attaches to the run there.
        RetryRequest request { call.context.kind, Outcome::Unknown, call.lastReason, call.attemptCount,
            remainingUntil(call.context.deadline, m_dependencies.clock.now()), RetryLayer::NextNode };
        const RetryDecision decision = call.service.decideRetry(request);
        m_dependencies.metrics.countRetry(decision.isRetry() ? call.lastRetryReason : decision.reason);
        if (!decision.isRetry())
            return;
    }
}

void OutboundProxy::issueKey(Call& call)
{
    // A key contains the incarnation and uptime of its executor, which are known after the first load report in a probe
    // reply or response. Until then, choose other endpoints.
    const SteadyTime issueDeadline = m_dependencies.clock.now()
        + std::min(keyIssueTimeout, remainingUntil(call.context.deadline, m_dependencies.clock.now()));
    std::string text;
    std::vector<VmId> vmsWithoutReport;
    while (text.empty() && m_dependencies.clock.now() < issueDeadline) {
        const auto choice = call.service.choose({ call.context.callClass, vmsWithoutReport });
        if (choice && choice->incarnation.value != 0)
            text
                = m_dependencies.keyIssuer.issue(call.context.service, choice->vm, choice->incarnation, choice->uptime);
        else if (choice)
            vmsWithoutReport.push_back(choice->vm);
        else {
            vmsWithoutReport.clear();
            std::this_thread::sleep_for(keyIssueRetryInterval);
        }
    }
    if (text.empty())
        return finishCall(call, Outcome::NotRun, Reason::NoEndpoint);
    m_dependencies.metrics.count("snipeweir_keys_issued_total");
    call.exchange.respond(200,
        { { "Content-Type", "application/json" }, { "Snipeweir-Outcome", "done" }, { "Snipeweir-Reason", "none" },
            { "Snipeweir-Call-Id", call.context.id.text() } },
        R"({"key":")" + text + "\"}\n");
}

}

#include "snipeweir/node/InboundProxy.h"

#include "snipeweir/core/ProductField.h"
#include "snipeweir/node/PolicySettings.h"

#include <algorithm>
#include <xxhash.h>

namespace snipeweir {

namespace {

    constexpr std::chrono::milliseconds interimResponseInterval { 200 };
    constexpr std::chrono::milliseconds queuePollInterval { 5 };
    constexpr std::chrono::milliseconds ledgerPollInterval { 20 };

    // Timeout for progress within a response body of the backend server. Longer than the timeout between nodes, because
    // a backend server may compute while it streams.
    constexpr std::chrono::milliseconds backendNoProgressTimeout { 5000 };

    uint64_t requestHash(const CallContext& call, const std::string& body)
    {
        const std::string head = call.method + " " + call.target + "\n";
        return XXH64(body.data(), body.size(), XXH64(head.data(), head.size(), 0));
    }

    std::chrono::microseconds microsecondsSince(SteadyTime begin, SteadyTime now)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(now - begin);
    }

}

/// State of one call while it is forwarded to the backend server.
struct InboundProxy::ForwardingState {
    bool hasStartedResponse = false; ///< The response head was forwarded to the caller.
    bool isShedByBackend = false;
    std::optional<StoredResponse> storedResponse; ///< The response, collected for the ledger as long as it fits.
    size_t maxStoredBytes = 0; ///< Zero for idempotent calls.
    TransferEnd end = TransferEnd::ConnectionLost;
    int status = 0;
};

Result<std::unique_ptr<InboundProxy>> InboundProxy::create(InboundProxyDependencies dependencies, const Policy& policy)
{
    BOOST_LEAF_AUTO(admission, AdmissionController::create(admissionSettings(policy), dependencies.clock));
    BOOST_LEAF_AUTO(ledger,
        KeyLedger::create(ledgerSettings(policy, dependencies.settings.service), dependencies.settings.vm,
            dependencies.incarnation, dependencies.clock, dependencies.startedAt));
    return std::unique_ptr<InboundProxy>(
        new InboundProxy(dependencies, policy, std::move(admission), std::move(ledger)));
}

InboundProxy::InboundProxy(InboundProxyDependencies dependencies, const Policy& policy,
    std::unique_ptr<AdmissionController> admission, std::unique_ptr<KeyLedger> ledger)
    : m_dependencies(dependencies)
    , m_admission(std::move(admission))
    , m_policy(policy)
    , m_ledger(std::move(ledger))
{
}

Policy InboundProxy::policy() const
{
    const std::lock_guard lock(m_mutex);
    return m_policy;
}

void InboundProxy::setPolicy(const Policy& policy)
{
    {
        const std::lock_guard lock(m_mutex);
        m_policy = policy;
        m_admission->setSettings(admissionSettings(policy));
    }
    const std::lock_guard lock(m_ledgerMutex);
    m_ledger->setSettings(ledgerSettings(policy, m_dependencies.settings.service));
}

void InboundProxy::setServingState(ServingState state)
{
    {
        const std::lock_guard lock(m_mutex);
        m_admission->setServing(state);
    }
    m_admissionDecided.notify_all();
}

void InboundProxy::expireQueuedCalls()
{
    bool hasDecisions = false;
    {
        const std::lock_guard lock(m_mutex);
        m_admission->expireQueue();
        hasDecisions = !m_admission->takeDecided().empty();
    }
    if (hasDecisions)
        m_admissionDecided.notify_all();
}

LoadReport InboundProxy::loadReport() const
{
    const std::lock_guard lock(m_mutex);
    LoadReport report = m_admission->report();
    report.incarnation = m_dependencies.incarnation;
    report.uptime
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_dependencies.clock.now() - m_dependencies.startedAt);
    return report;
}

void InboundProxy::cancel(const CallId& id)
{
    m_activeCalls.cancel(id);
    {
        const std::lock_guard lock(m_mutex);
        m_admission->cancel(id);
    }
    m_admissionDecided.notify_all();
}

bool InboundProxy::mayStart(const HttpServerExchange& exchange) const
{
    PauseDetector& detector = m_dependencies.pauseDetector;
    return detector.mayStart(exchange.beganAt()) && !detector.hasPausedSince(exchange.connectionIdleSince())
        && detector.isViewFresh();
}

void InboundProxy::refuse(
    HttpServerExchange& exchange, const CallId& id, Outcome outcome, Reason reason, const std::string& successor)
{
    m_dependencies.metrics.countOutcome(outcome, reason);
    std::vector<HttpHeader> extraHeaders { { "Snipeweir-Load", loadReport().toHeader() } };
    if (!successor.empty())
        extraHeaders.push_back({ "Snipeweir-Successor-Key", successor });
    respondOutcome(exchange, id, outcome, reason, std::move(extraHeaders));
}

void InboundProxy::handle(HttpServerExchange& exchange)
{
    const Policy current = policy();
    auto read = parseCall(exchange, CallOrigin::Node, current, CallId("none"));
    if (const auto* refusal = std::get_if<CallRefusal>(&read))
        return refuse(exchange, CallId("none"), outcomeOfRefusal(exchange), refusal->reason);
    const CallContext call = std::get<CallContext>(std::move(read));
    auto body = readRequestBody(exchange, current, call.deadline);
    if (const auto* refusal = std::get_if<CallRefusal>(&body))
        return refuse(exchange, call.id, outcomeOfRefusal(exchange), refusal->reason);

    // A call for another VM or service shows that the calling node's view is outdated.
    const auto target = exchange.header("Snipeweir-Target-Vm");
    if (call.service != m_dependencies.settings.service || (target && *target != m_dependencies.settings.vm.text()))
        return refuse(exchange, call.id, outcomeOfRefusal(exchange), Reason::WrongEndpoint);

    CallRegistry::Registration registration(m_activeCalls, call.id);
    serve(exchange, call, std::get<std::string>(body), registration.entry());
}

void InboundProxy::serve(
    HttpServerExchange& exchange, const CallContext& call, const std::string& body, CallRegistry::Entry& entry)
{
    if (call.kind == RequestKind::Keyed)
        serveKeyed(exchange, call, body, entry);
    else
        serveIdempotent(exchange, call, body, entry);
    if (exchange.status() == 200)
        m_dependencies.metrics.observeLatency(
            "serving", microsecondsSince(call.receivedAt, m_dependencies.clock.now()));
}

AdmissionDecision InboundProxy::awaitAdmission(const CallContext& call, CallRegistry::Entry& entry)
{
    std::unique_lock lock(m_mutex);
    AdmissionDecision decision = m_admission->offer({ call.id, call.callClass, call.deadline });
    while (decision.kind == AdmissionDecision::Kind::Queued) {
        if (entry.isCancelled)
            m_admission->cancel(call.id);
        m_admissionDecided.wait_for(lock, queuePollInterval);
        decision = m_admission->poll(call.id).value_or(
            AdmissionDecision { AdmissionDecision::Kind::Refused, Reason::CancelledBeforeStart });
    }
    return decision;
}

void InboundProxy::finishAdmission(const CallId& id, BackendResult result)
{
    {
        const std::lock_guard lock(m_mutex);
        m_admission->onFinished(id, result);
        m_admission->takeDecided();
    }
    m_admissionDecided.notify_all();
}

void InboundProxy::serveIdempotent(
    HttpServerExchange& exchange, const CallContext& call, const std::string& body, CallRegistry::Entry& entry)
{
    if (!mayStart(exchange))
        return refuse(exchange, call.id, Outcome::NotRun, Reason::ProcessPaused);
    const AdmissionDecision decision = awaitAdmission(call, entry);
    if (decision.kind != AdmissionDecision::Kind::Admitted)
        return refuse(exchange, call.id, Outcome::NotRun, decision.reason);
    if (!mayStart(exchange)) {
        finishAdmission(call.id, { BackendResult::Kind::Cancelled, {} });
        return refuse(exchange, call.id, Outcome::NotRun, Reason::ProcessPaused);
    }
    ForwardingState forwarding;
    forward(exchange, call, body, entry, forwarding);
    if (forwarding.hasStartedResponse)
        return;
    if (forwarding.isShedByBackend)
        return refuse(exchange, call.id, Outcome::NotRun, Reason::BackendShed);
    switch (forwarding.end) {
    case TransferEnd::ConnectFailed:
        return refuse(exchange, call.id, Outcome::NotRun, Reason::BackendUnreachable);
    case TransferEnd::Aborted:
        return refuse(exchange, call.id, Outcome::Unknown, Reason::CancelledWhileRunning);
    case TransferEnd::DeadlinePassed:
    case TransferEnd::NoProgress:
        return refuse(exchange, call.id, Outcome::Unknown, Reason::DeadlineWhileRunning);
    case TransferEnd::Malformed:
        return refuse(exchange, call.id, Outcome::Unknown, Reason::MalformedResponse);
    default:
        return refuse(exchange, call.id, Outcome::Unknown, Reason::ConnectionLost);
    }
}

std::vector<HttpHeader> InboundProxy::responseHeaders(const CallContext& call, const HttpResponseHead& head) const
{
    std::vector<HttpHeader> headers;
    for (const auto& header : head.headers) {
        if (!isHopByHopHeader(header.name) && !isProductField(header.name) && !head.isForThisConnection(header.name))
            headers.push_back(header);
    }
    headers.push_back({ "Snipeweir-Outcome", "done" });
    headers.push_back({ "Snipeweir-Reason", "none" });
    headers.push_back({ "Snipeweir-Call-Id", call.id.text() });
    headers.push_back({ "Snipeweir-Load", loadReport().toHeader() });
    headers.push_back({ "Snipeweir-Served-By",
        m_dependencies.settings.ip + ":" + std::to_string(m_dependencies.settings.backendPort) });
    return headers;
}

void InboundProxy::forward(HttpServerExchange& exchange, const CallContext& call, const std::string& body,
    CallRegistry::Entry& entry, ForwardingState& forwarding)
{
    // Build the request for the backend server.
    const SteadyTime began = m_dependencies.clock.now();
    HttpRequest request;
    request.to = { m_dependencies.settings.ip, m_dependencies.settings.backendPort };
    request.method = call.method;
    request.target = call.target;
    request.body = body;
    request.deadline = call.deadline;
    request.headTimeout = std::chrono::ceil<std::chrono::milliseconds>(call.deadline - began);
    request.noProgressTimeout = backendNoProgressTimeout;
    request.reuse = call.kind == RequestKind::Keyed ? ConnectionReuse::Forbidden : ConnectionReuse::Allowed;
    for (const auto& header : exchange.headers()) {
        if (!isHopByHopHeader(header.name) && !header.name.starts_with("Snipeweir-") && header.name != "Host")
            request.headers.push_back(header);
    }
    request.headers.push_back({ "Snipeweir-Call-Id", call.id.text() });
    request.headers.push_back({ "Snipeweir-Depth", std::to_string(call.depth) });
    request.headers.push_back({ "Snipeweir-Deadline-Ms", std::to_string(request.headTimeout->count()) });
    request.headers.push_back({ "Snipeweir-Class", std::string(callClassName(call.callClass)) });

    // Stream the response to the caller. A keyed run continues after its caller has disconnected.
    bool isCallerConnected = true;
    std::chrono::microseconds headLatency { 0 };
    SteadyTime lastInterimAt = began;
    TransferHooks hooks;
    hooks.onHead = [&](const HttpResponseHead& head) {
        headLatency = microsecondsSince(began, m_dependencies.clock.now());
        forwarding.status = head.status;
        forwarding.isShedByBackend = head.header("Snipeweir-Not-Run").has_value();
        if (forwarding.isShedByBackend)
            return true;
        const auto headers = responseHeaders(call, head);
        if (forwarding.maxStoredBytes > 0) {
            forwarding.storedResponse.emplace();
            forwarding.storedResponse->status = head.status;
            for (const auto& header : headers)
                forwarding.storedResponse->headers.emplace_back(header.name, header.value);
        }
        forwarding.hasStartedResponse = true;
        isCallerConnected = exchange.startBody(
            head.status, headers, call.method == "HEAD" ? std::optional<uint64_t>(0) : head.contentLength);
        return isCallerConnected || call.kind == RequestKind::Keyed;
    };
    hooks.onBody = [&](std::string_view piece) {
        if (forwarding.isShedByBackend)
            return true;
        if (forwarding.storedResponse && forwarding.storedResponse->size() + piece.size() <= forwarding.maxStoredBytes)
            forwarding.storedResponse->body.append(piece);
        else
            forwarding.storedResponse.reset();
        isCallerConnected = isCallerConnected && exchange.writeBody(piece);
        return isCallerConnected || call.kind == RequestKind::Keyed;
    };
    hooks.onWait = [&] {
        if (entry.isCancelled && call.kind == RequestKind::Idempotent)
            return false;
        const SteadyTime now = m_dependencies.clock.now();
        if (!forwarding.hasStartedResponse && now - lastInterimAt >= interimResponseInterval) {
            lastInterimAt = now;
            isCallerConnected = isCallerConnected && exchange.sendInterim();
        }
        return isCallerConnected || call.kind == RequestKind::Keyed;
    };
    forwarding.end = m_dependencies.client.perform(std::move(request), std::move(hooks));

    // Release the slot and report the latency up to the response head to admission control. The time of the
    // body is left out, because it depends on the caller and not on the backend server alone.
    BackendResult result { BackendResult::Kind::Succeeded, headLatency };
    if (forwarding.isShedByBackend)
        result.kind = BackendResult::Kind::Shed;
    else if (forwarding.end == TransferEnd::ConnectFailed)
        result.kind = BackendResult::Kind::Unreachable;
    else if (forwarding.end == TransferEnd::Aborted)
        result.kind = BackendResult::Kind::Cancelled;
    else if (forwarding.end != TransferEnd::Complete) {
        result.kind = BackendResult::Kind::Lost;
        result.latency = microsecondsSince(began, m_dependencies.clock.now());
    } else if (forwarding.status >= 500)
        result.kind = BackendResult::Kind::Failed;
    finishAdmission(call.id, result);
    if (!forwarding.hasStartedResponse)
        return;
    if (forwarding.end == TransferEnd::Complete && isCallerConnected) {
        exchange.finishBody();
        m_dependencies.metrics.countOutcome(Outcome::Done, Reason::None);
    } else {
        exchange.abort();
        m_dependencies.metrics.countOutcome(Outcome::Unknown, Reason::ResponseTruncated);
    }
}

std::optional<IdempotencyKey> InboundProxy::openKey(std::string_view text) const
{
    return handleErrors(
        [&]() -> Result<std::optional<IdempotencyKey>> {
            BOOST_LEAF_AUTO(key, m_dependencies.keyIssuer.open(text));
            return std::optional<IdempotencyKey>(std::move(key));
        },
        [](const Error&) { return std::optional<IdempotencyKey>(); });
}

void InboundProxy::serveKeyed(
    HttpServerExchange& exchange, const CallContext& call, const std::string& body, CallRegistry::Entry& entry)
{
    const auto key = openKey(call.idempotencyKey);
    if (!key)
        return refuse(exchange, call.id, Outcome::Unknown, Reason::KeyInvalid);
    const auto successorText = exchange.header("Snipeweir-Successor-Key");
    const auto successor = successorText ? openKey(*successorText) : std::nullopt;

    // A refusal seals the key first, so that the key cannot run later.
    LedgerResult result;
    if (!mayStart(exchange)) {
        const std::lock_guard lock(m_ledgerMutex);
        result = m_ledger->refuse(*key, Reason::ProcessPaused, successor);
    } else {
        const std::lock_guard lock(m_ledgerMutex);
        result = m_ledger->begin(*key, successor, requestHash(call, body));
    }
    if (result.kind == LedgerResult::Kind::AttachToRun)
        result = awaitKeyedRun(exchange, call, *key);
    if (result.kind != LedgerResult::Kind::RunNow)
        return respondFromLedger(exchange, call, result);

    const AdmissionDecision admission = awaitAdmission(call, entry);
    const bool isAdmitted = admission.kind == AdmissionDecision::Kind::Admitted;
    if (!isAdmitted || !mayStart(exchange)) {
        if (isAdmitted)
            finishAdmission(call.id, { BackendResult::Kind::Cancelled, {} });
        {
            const std::lock_guard lock(m_ledgerMutex);
            result = m_ledger->seal(*key, isAdmitted ? Reason::ProcessPaused : admission.reason, successor);
        }
        m_ledgerChanged.notify_all();
        return respondFromLedger(exchange, call, result);
    }
    forwardKeyed(exchange, call, body, entry, *key, successor);
}

void InboundProxy::forwardKeyed(HttpServerExchange& exchange, const CallContext& call, const std::string& body,
    CallRegistry::Entry& entry, const IdempotencyKey& key, const std::optional<IdempotencyKey>& successor)
{
    ForwardingState forwarding;
    forwarding.maxStoredBytes = policy().keptResponseBytes;
    forward(exchange, call, body, entry, forwarding);
    LedgerResult result;
    {
        const std::lock_guard lock(m_ledgerMutex);
        if (forwarding.isShedByBackend)
            result = m_ledger->seal(key, Reason::BackendShed, successor);
        else if (forwarding.end == TransferEnd::ConnectFailed)
            result = m_ledger->seal(key, Reason::BackendUnreachable, successor);
        else if (forwarding.end == TransferEnd::Complete)
            m_ledger->finish(key, std::move(forwarding.storedResponse));
        else {
            Reason reason = Reason::ConnectionLost;
            if (forwarding.end == TransferEnd::DeadlinePassed || forwarding.end == TransferEnd::NoProgress)
                reason = Reason::DeadlineWhileRunning;
            else if (forwarding.end == TransferEnd::Malformed)
                reason = Reason::MalformedResponse;
            m_ledger->finishUnknown(key, reason);
            result = m_ledger->lookUp(key);
        }
    }
    m_ledgerChanged.notify_all();
    if (!forwarding.hasStartedResponse)
        respondFromLedger(exchange, call, result);
}

LedgerResult InboundProxy::awaitKeyedRun(
    HttpServerExchange& exchange, const CallContext& call, const IdempotencyKey& key)
{
    SteadyTime lastInterimAt = m_dependencies.clock.now();
    std::unique_lock lock(m_ledgerMutex);
    while (true) {
        LedgerResult result = m_ledger->lookUp(key);
        const SteadyTime now = m_dependencies.clock.now();
        if (result.kind != LedgerResult::Kind::AttachToRun)
            return result;
        if (now >= call.deadline)
            return { LedgerResult::Kind::Unknown, Reason::DeadlineWhileRunning, {}, nullptr };
        if (now - lastInterimAt >= interimResponseInterval) {
            lock.unlock();
            lastInterimAt = now;
            const bool isCallerConnected = exchange.sendInterim();
            lock.lock();
            if (!isCallerConnected)
                return { LedgerResult::Kind::Unknown, Reason::CancelledWhileRunning, {}, nullptr };
        }
        m_ledgerChanged.wait_for(lock, ledgerPollInterval);
    }
}

void InboundProxy::respondFromLedger(HttpServerExchange& exchange, const CallContext& call, const LedgerResult& result)
{
    switch (result.kind) {
    case LedgerResult::Kind::Stored: {
        std::vector<HttpHeader> headers;
        for (const auto& [name, value] : result.response->headers)
            headers.push_back({ name, name == "Snipeweir-Call-Id" ? call.id.text() : value });
        m_dependencies.metrics.countOutcome(Outcome::Done, Reason::None);
        return exchange.respond(result.response->status, headers, result.response->body);
    }
    case LedgerResult::Kind::Sealed:
    case LedgerResult::Kind::Refused:
        return refuse(exchange, call.id, Outcome::NotRun, result.reason, result.successor);
    default:
        return refuse(exchange, call.id, Outcome::Unknown, result.reason);
    }
}

}

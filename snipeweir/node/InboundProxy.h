#pragma once

#include "snipeweir/admission/AdmissionController.h"
#include "snipeweir/configuration/NodeSettings.h"
#include "snipeweir/core/PauseDetector.h"
#include "snipeweir/idempotency/KeyIssuer.h"
#include "snipeweir/idempotency/KeyLedger.h"
#include "snipeweir/node/CallContext.h"
#include "snipeweir/node/CallRegistry.h"
#include "snipeweir/telemetry/Metrics.h"
#include "snipeweir/transport/HttpClient.h"

#include <condition_variable>
#include <memory>
#include <mutex>

namespace snipeweir {

/// Components of the node that InboundProxy uses; they must outlive it.
struct InboundProxyDependencies {
    const NodeSettings& settings;
    const Clock& clock;
    Metrics& metrics;
    HttpClient& client;
    PauseDetector& pauseDetector;
    const KeyIssuer& keyIssuer;
    Incarnation incarnation;
    SteadyTime startedAt;
};

/// Proxy for the calls of other nodes to the backend server on this VM: applies admission control, keeps the ledger of
/// idempotency keys, forwards calls to the backend server and streams the responses back. handle() may be called from
/// many threads at once.
class InboundProxy {
public:
    /// @return The proxy, or the error of the admission controller or the ledger.
    static Result<std::unique_ptr<InboundProxy>> create(InboundProxyDependencies, const Policy&);

    /// Handles one request of the internal listener.
    void handle(HttpServerExchange&);

    /// Cancels a call that this node serves, by its attempt id.
    void cancel(const CallId&);

    void setPolicy(const Policy&);
    void setServingState(ServingState);

    /// Expires queued calls. The timer thread calls it every 5 ms.
    void expireQueuedCalls();

    LoadReport loadReport() const;

    /// @return Number of calls in progress, including queued ones.
    size_t activeCalls() const { return m_activeCalls.size(); }

private:
    struct ForwardingState;

    InboundProxy(
        InboundProxyDependencies, const Policy&, std::unique_ptr<AdmissionController>, std::unique_ptr<KeyLedger>);

    void serve(HttpServerExchange&, const CallContext&, const std::string& body, CallRegistry::Entry&);
    void serveKeyed(HttpServerExchange&, const CallContext&, const std::string& body, CallRegistry::Entry&);
    void serveIdempotent(HttpServerExchange&, const CallContext&, const std::string& body, CallRegistry::Entry&);
    AdmissionDecision awaitAdmission(const CallContext&, CallRegistry::Entry&);
    LedgerResult awaitKeyedRun(HttpServerExchange&, const CallContext&, const IdempotencyKey&);
    void forward(
        HttpServerExchange&, const CallContext&, const std::string& body, CallRegistry::Entry&, ForwardingState&);
    void forwardKeyed(HttpServerExchange&, const CallContext&, const std::string& body, CallRegistry::Entry&,
        const IdempotencyKey&, const std::optional<IdempotencyKey>& successor);
    void respondFromLedger(HttpServerExchange&, const CallContext&, const LedgerResult&);
    void refuse(HttpServerExchange&, const CallId&, Outcome, Reason, const std::string& successor = {});
    std::optional<IdempotencyKey> openKey(std::string_view text) const;
    std::vector<HttpHeader> responseHeaders(const CallContext&, const HttpResponseHead&) const;
    bool mayStart(const HttpServerExchange&) const;
    void finishAdmission(const CallId&, BackendResult);
    Policy policy() const;

    InboundProxyDependencies m_dependencies;
    CallRegistry m_activeCalls;

    // Guarded by m_mutex.
    mutable std::mutex m_mutex;
    std::condition_variable m_admissionDecided;
    std::unique_ptr<AdmissionController> m_admission;
    Policy m_policy;

    // Guarded by m_ledgerMutex.
    mutable std::mutex m_ledgerMutex;
    std::condition_variable m_ledgerChanged;
    std::unique_ptr<KeyLedger> m_ledger;
};

}

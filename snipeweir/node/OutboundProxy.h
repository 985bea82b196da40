#pragma once

#include "snipeweir/configuration/NodeSettings.h"
#include "snipeweir/core/BoundedQueue.h"
#include "snipeweir/core/PauseDetector.h"
#include "snipeweir/idempotency/KeyIssuer.h"
#include "snipeweir/idempotency/KeyedCall.h"
#include "snipeweir/node/CallContext.h"
#include "snipeweir/node/CallRegistry.h"
#include "snipeweir/node/ServiceDirectory.h"
#include "snipeweir/telemetry/DecisionLog.h"
#include "snipeweir/telemetry/Metrics.h"
#include "snipeweir/transport/HttpClient.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace snipeweir {

/// Components of the node that OutboundProxy uses; they must outlive it.
struct OutboundProxyDependencies {
    const NodeSettings& settings;
    const Clock& clock;
    Metrics& metrics;
    HttpClient& client;
    PauseDetector& pauseDetector;
    const KeyIssuer& keyIssuer;
    ServiceDirectory& services;
    DecisionLog& decisions;
    uint64_t idSeed = 0; ///< Prefix of new call ids, which makes them unique among processes.
    /// Reports after an attempt whether the node on the VM could be reached.
    std::function<void(const VmId&, bool isReachable)> onReachability = {};
    /// Cancels an attempt at the serving node with the given internal address.
    std::function<void(const Address&, const CallId&)> sendCancellation = {};
};

/// Proxy for the calls of local callers: chooses an endpoint of the called service, forwards the call to the node
/// there, retries and hedges it as decided by CalledService, and streams the response back. handle() may be called from
/// many threads at once.
class OutboundProxy {
public:
    explicit OutboundProxy(OutboundProxyDependencies);
    ~OutboundProxy();
    OutboundProxy(const OutboundProxy&) = delete;
    OutboundProxy& operator=(const OutboundProxy&) = delete;

    /// Handles one request of the public listener under /services/.
    void handle(HttpServerExchange&);

    /// Cancels a call by the caller's call id.
    /// @return Whether the call was in progress at this node.
    bool cancel(const CallId&);

    /// Refuses new calls from now on, before a planned shutdown.
    void startDraining() { m_isDraining = true; }

    size_t activeCalls() const { return m_activeCalls.size(); }

private:
    struct Attempt;
    struct Call;

    void route(Call&);
    void routeIdempotent(Call&);
    void routeKeyed(Call&);
    void sendKeyed(Call&, KeyedCall&, const IdempotencyKey&);
    void issueKey(Call&);
    std::unique_ptr<Attempt> startAttempt(Call&, const EndpointChoice&, std::vector<HttpHeader> extraHeaders);
    void runAttempts(Call&, std::vector<std::unique_ptr<Attempt>>& attempts);
    void startHedge(Call&, std::vector<std::unique_ptr<Attempt>>& attempts, SteadyTime sentAt);
    bool onHead(Call&, Attempt&, const HttpResponseHead&);
    void completeAttempt(Call&, Attempt&, TransferEnd);
    void cancelAttempt(Call&, Attempt&);
    void finishCall(Call&, Outcome, Reason);
    std::optional<Address> internalAddress(const VmId&) const;
    std::optional<std::string> issueSuccessorKey(Call&, const VmId& refusingVm);
    void record(
        const Call&, DecisionRecord::Kind, const VmId&, Outcome, Reason, RetryReason = RetryReason::AfterRefusal);
    CallId newCallId();
    void sendQueuedCancellations();

    OutboundProxyDependencies m_dependencies;
    CallRegistry m_activeCalls;
    std::atomic<uint64_t> m_nextCallNumber { 1 };
    std::atomic<bool> m_isDraining { false };
    BoundedQueue<std::pair<Address, CallId>> m_cancellations;
    std::atomic<bool> m_isStopping { false };
    std::thread m_cancellationThread;
};

}

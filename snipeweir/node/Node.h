#pragma once

#include "snipeweir/node/AdminPages.h"
#include "snipeweir/node/ControlPlane.h"
#include "snipeweir/node/InboundProxy.h"
#include "snipeweir/node/NodeRpc.h"
#include "snipeweir/node/OutboundProxy.h"

#include <atomic>
#include <memory>
#include <thread>

namespace snipeweir {

/// A load balancer node, which runs on the VM of a backend server. Composes control plane, outbound proxy, inbound
/// proxy and operators' pages, and runs the timer thread. create(), drain() and the destructor must be called from one
/// thread.
class Node {
public:
    /// @param settings Validated settings of this node.
    /// @param clock Must outlive the node.
    /// @param chartDirectory Directory of the state charts.
    /// @return The node, listening, or the error of the part that could not be created.
    static Result<std::unique_ptr<Node>> create(
        NodeSettings settings, const Clock& clock, const std::string& chartDirectory);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /// Drains the node before a planned shutdown: refuses new calls, announces to the fleet that it leaves, and waits
    /// for the calls in flight.
    /// @return Whether all calls ended within the drain timeout.
    bool drain();

private:
    Node(NodeSettings, const Clock&, StateChart endpointChart);

    Result<void> createComponents(const std::string& chartDirectory);
    Result<void> listen();
    void handlePublic(HttpServerExchange&);
    void handleInternal(HttpServerExchange&);
    void onView(const std::shared_ptr<const RoutingView>&);
    void updateServingState();
    void runTimer();
    size_t activeCalls() const;

    const NodeSettings m_settings;
    const Clock& m_clock;
    const SteadyTime m_startedAt;
    const Incarnation m_incarnation;
    Metrics m_metrics;
    HttpClient m_client;
    /// Second in which a malformed response was last logged; there is one such line a second.
    std::atomic<int64_t> m_malformedResponseLoggedAt = -1;
    DecisionLog m_decisions;
    ServiceDirectory m_services;
    std::atomic<bool> m_isDraining { false };
    std::atomic<bool> m_isStopping { false };
    std::unique_ptr<PauseDetector> m_pauseDetector;
    std::unique_ptr<KeyIssuer> m_keyIssuer;
    std::unique_ptr<InboundProxy> m_inboundProxy;
    std::unique_ptr<ControlPlane> m_controlPlane;
    std::unique_ptr<OutboundProxy> m_outboundProxy;
    std::unique_ptr<AdminPages> m_adminPages;
    std::unique_ptr<NodeRpc> m_rpc;
    std::unique_ptr<HttpServer> m_publicServer;
    std::unique_ptr<HttpServer> m_internalServer;
    std::thread m_timerThread;
};

}

#pragma once

#include "snipeweir/node/ControlPlane.h"
#include "snipeweir/node/InboundProxy.h"
#include "snipeweir/node/ServiceDirectory.h"
#include "snipeweir/telemetry/DecisionLog.h"

#include <functional>
#include <json/json.h>

namespace snipeweir {

/// Components of the node that the operators' pages read; they must outlive AdminPages.
struct AdminPagesDependencies {
    const NodeSettings& settings;
    const Clock& clock;
    Metrics& metrics;
    PauseDetector& pauseDetector;
    ServiceDirectory& services;
    InboundProxy& inboundProxy;
    ControlPlane& controlPlane;
    DecisionLog& decisions;
    Incarnation incarnation;
    SteadyTime startedAt;
    std::function<std::string()> nodeState = {}; ///< Returns "starting", "serving" or "draining".
    std::function<size_t()> activeCalls = {};
    std::function<Result<Json::Value>(const VmId&)> fetchStatus = {}; ///< Requests the status of another node.
};

/// Read-only pages for operators: status, fleet, events, explain and metrics. May be called from any thread.
class AdminPages {
public:
    explicit AdminPages(AdminPagesDependencies dependencies)
        : m_dependencies(std::move(dependencies))
    {
    }

    /// Serves /admin/... and /metrics. @return false if the path is not one of these.
    bool handle(HttpServerExchange&);

    // Contents of the pages, which are also served to other nodes over JSON-RPC.
    Json::Value status() const;
    Json::Value fleet() const;
    Json::Value events() const;

private:
    void respondNodeStatus(HttpServerExchange&, const VmId&) const;

    AdminPagesDependencies m_dependencies;
};

}

#pragma once

#include "snipeweir/control/RpcAuthenticator.h"
#include "snipeweir/node/AdminPages.h"
#include "snipeweir/transport/HttpClient.h"
#include "snipeweir/transport/JsonRpcServer.h"

#include <memory>

namespace snipeweir {

/// Components of the node that NodeRpc uses; they must outlive it.
struct NodeRpcDependencies {
    const NodeSettings& settings;
    const Clock& clock;
    Metrics& metrics;
    HttpClient& client;
    ServiceDirectory& services;
    InboundProxy& inboundProxy;
    DecisionLog& decisions;
    const AdminPages& admin;
};

/// Authenticated JSON-RPC between nodes: serves node.status, node.fleet, node.events, node.explain and call.cancel at
/// /rpc of the internal listener, and calls them on other nodes. May be called from any thread.
class NodeRpc {
public:
    /// Also registers a gauge per refusal reason.
    /// @return The object, or the error of the authenticator.
    static Result<std::unique_ptr<NodeRpc>> create(NodeRpcDependencies);

    /// Handles one request for /rpc.
    void serve(HttpServerExchange& exchange) { m_server.serve(exchange); }

    /// Calls a method of another node.
    /// @param to Internal address of the node.
    /// @param expectedVm VM whose node must respond; empty if any holder of a control key may.
    /// @param timeout Maximum duration of the whole call.
    /// @return The result, or ErrorCode::Timeout, Unavailable, TooLarge, Unauthenticated or Stale.
    Result<Json::Value> call(const Address& to, const VmId& expectedVm, const std::string& method,
        const Json::Value& parameters, std::chrono::milliseconds timeout);

    /// Requests the status of another node, with a timeout of 1 s.
    /// @return The status, ErrorCode::NotFound if the VM is not in the VM list, or an error of call().
    Result<Json::Value> fetchStatus(const VmId&);

    /// Cancels an attempt at a serving node. Best effort: if the cancellation is lost, the call
    /// only runs longer than needed.
    void cancelCall(const Address& to, const CallId&);

private:
    NodeRpc(NodeRpcDependencies, std::unique_ptr<RpcAuthenticator>);

    JsonRpcServerSettings serverSettings();
    void addMethods();
    void addGauges();
    Result<std::string> exchangeMessages(
        const Address& to, const VmId& expectedVm, const std::string& request, SteadyTime deadline);

    NodeRpcDependencies m_dependencies;
    const std::string m_address;
    std::unique_ptr<RpcAuthenticator> m_authenticator;
    JsonRpcServer m_server;
};

}

#include "snipeweir/node/NodeRpc.h"

#include "snipeweir/transport/JsonRpcClient.h"

namespace snipeweir {

namespace {

    constexpr std::chrono::milliseconds statusTimeout { 1000 };
    constexpr std::chrono::milliseconds cancelTimeout { 500 };

    // node.fleet needs about 250 bytes per member, for 3,500 members.
    constexpr size_t maxResponseBytes = 2'097'152;

}

Result<std::unique_ptr<NodeRpc>> NodeRpc::create(NodeRpcDependencies dependencies)
{
    RpcAuthenticatorSettings settings;
    settings.keys = dependencies.settings.controlKeys;
    BOOST_LEAF_AUTO(
        authenticator, RpcAuthenticator::create(std::move(settings), dependencies.settings.vm, dependencies.clock));
    return std::unique_ptr<NodeRpc>(new NodeRpc(dependencies, std::move(authenticator)));
}

NodeRpc::NodeRpc(NodeRpcDependencies dependencies, std::unique_ptr<RpcAuthenticator> authenticator)
    : m_dependencies(dependencies)
    , m_address(Address { dependencies.settings.ip, dependencies.settings.internalPort }.text())
    , m_authenticator(std::move(authenticator))
    , m_server(serverSettings())
{
    addMethods();
    addGauges();
}

JsonRpcServerSettings NodeRpc::serverSettings()
{
    JsonRpcServerSettings settings;
    settings.macHeader = RpcAuthenticator::headerName;
    settings.authenticate = [this](std::optional<std::string_view> mac, const std::string& body) {
        return handleErrors(
            [&]() -> Result<std::optional<uint64_t>> {
                BOOST_LEAF_AUTO(caller, m_authenticator->openRequest(mac, m_address, body));
                return caller.nonce;
            },
            [](const Error&) { return std::optional<uint64_t>(); });
    };
    settings.sign
        = [this](uint64_t nonce, const std::string& body) { return m_authenticator->signResponse(nonce, body); };
    return settings;
}

void NodeRpc::addMethods()
{
    m_server.add(
        "node.status", {}, [this](const Json::Value&) -> Result<Json::Value> { return m_dependencies.admin.status(); });
    m_server.add(
        "node.fleet", {}, [this](const Json::Value&) -> Result<Json::Value> { return m_dependencies.admin.fleet(); });
    m_server.add(
        "node.events", {}, [this](const Json::Value&) -> Result<Json::Value> { return m_dependencies.admin.events(); });
    m_server.add("node.explain", { "call" }, [this](const Json::Value& parameters) -> Result<Json::Value> {
        Json::Value records = m_dependencies.decisions.find(CallId(parameters["call"].asString()));
        if (records.isNull())
            return fail(ErrorCode::NotFound, "The call is not known here.");
        return records;
    });
    m_server.add("call.cancel", { "call" }, [this](const Json::Value& parameters) -> Result<Json::Value> {
        m_dependencies.inboundProxy.cancel(CallId(parameters["call"].asString()));
        return Json::Value(Json::objectValue);
    });
}

void NodeRpc::addGauges()
{
    for (size_t i = 0; i < rpcRefusalCount; ++i) {
        const auto refusal = static_cast<RpcRefusal>(i);
        m_dependencies.metrics.addGauge("snipeweir_rpc_authentication_refused_" + std::string(rpcRefusalName(refusal)),
            [this, refusal] { return static_cast<double>(m_authenticator->refusedCount(refusal)); });
    }
    for (size_t i = 0; i < jsonRpcRefusalCount; ++i) {
        const auto refusal = static_cast<JsonRpcRefusal>(i);
        m_dependencies.metrics.addGauge("snipeweir_rpc_refused_" + std::string(jsonRpcRefusalName(refusal)),
            [this, refusal] { return static_cast<double>(m_server.refusedCount(refusal)); });
    }
}

Result<std::string> NodeRpc::exchangeMessages(
    const Address& to, const VmId& expectedVm, const std::string& text, SteadyTime deadline)
{
    const RpcSignature signature = m_authenticator->signRequest(to.text(), text);
    HttpRequest request;
    request.to = to;
    request.method = "POST";
    request.target = "/rpc";
    request.headers = { { "Content-Type", "application/json" }, { RpcAuthenticator::headerName, signature.header } };
    request.body = text;
    request.deadline = deadline;
    BOOST_LEAF_AUTO(response, m_dependencies.client.fetch(std::move(request), maxResponseBytes));
    if (response.first.status != 200)
        return fail(ErrorCode::Unavailable,
            "The node at " + to.text() + " refused the request with status " + std::to_string(response.first.status)
                + ".");
    BOOST_LEAF_AUTO(vm,
        m_authenticator->openResponse(
            response.first.header(RpcAuthenticator::headerName), signature.nonce, response.second));
    if (!expectedVm.isEmpty() && vm != expectedVm)
        return fail(ErrorCode::Unauthenticated, "The node at " + to.text() + " is not " + expectedVm.text() + ".");
    return std::move(response.second);
}

Result<Json::Value> NodeRpc::call(const Address& to, const VmId& expectedVm, const std::string& method,
    const Json::Value& parameters, std::chrono::milliseconds timeout)
{
    const SteadyTime deadline = m_dependencies.clock.now() + timeout;
    std::optional<Error> transportError;
    const JsonRpcClient client([&](const std::string& request, std::string& response) {
        transportError = errorOf([&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(response, exchangeMessages(to, expectedVm, request, deadline));
            return {};
        });
        return !transportError;
    });
    JsonRpcReply reply = client.call(method, parameters);
    m_dependencies.metrics.count("snipeweir_rpc_calls_sent_total");
    if (transportError)
        return fail(transportError->code, transportError->message);
    if (!reply.isOk)
        return fail(
            ErrorCode::Unavailable, "The node at " + to.text() + " replied with an error: " + reply.error + ".");
    return std::move(reply.result);
}

Result<Json::Value> NodeRpc::fetchStatus(const VmId& vm)
{
    const auto view = m_dependencies.services.view();
    const VmRecord* record = view->vmList ? view->vmList->find(vm) : nullptr;
    if (!record)
        return fail(ErrorCode::NotFound, "The VM is not in the VM list.");
    return call({ record->ip, record->internalPort }, vm, "node.status", Json::objectValue, statusTimeout);
}

void NodeRpc::cancelCall(const Address& to, const CallId& id)
{
    Json::Value parameters;
    parameters["call"] = id.text();
    if (errorOf([&] { return call(to, {}, "call.cancel", parameters, cancelTimeout); }))
        m_dependencies.metrics.count("snipeweir_cancellations_failed_total");
}

}

#include "snipeweir/node/Node.h"

#include "snipeweir/node/PolicySettings.h"
#include "snipeweir/telemetry/Log.h"

#include <sodium.h>

namespace snipeweir {

namespace {

    constexpr std::chrono::milliseconds timerInterval { 5 };
    constexpr std::chrono::milliseconds drainPollInterval { 20 };

    // Minimum time for which a leaving node keeps refusing calls, so that callers with an outdated view get a response
    // and not a closed port.
    constexpr std::chrono::milliseconds minLeaveDuration { 1500 };
    constexpr std::string_view cancelPathPrefix = "/calls/";

    const Log logger("node");

    uint64_t randomNonZero()
    {
        uint64_t value = 0;
        while (value == 0)
            randombytes_buf(&value, sizeof value);
        return value;
    }

    std::vector<KeySecret> keySecrets(const NodeSettings& settings)
    {
        std::vector<KeySecret> secrets;
        for (const ControlKey& key : settings.controlKeys)
            secrets.push_back({ key.id, key.secret });
        return secrets;
    }

}

Result<std::unique_ptr<Node>> Node::create(NodeSettings settings, const Clock& clock, const std::string& chartDirectory)
{
    if (sodium_init() < 0)
        return fail(ErrorCode::Unavailable, "The cryptography library cannot be initialized.");
    BOOST_LEAF_AUTO(endpointChart, StateChart::load(chartDirectory + "/endpoint.json"));
    std::unique_ptr<Node> node(new Node(std::move(settings), clock, std::move(endpointChart)));
    BOOST_LEAF_CHECK(node->createComponents(chartDirectory));
    BOOST_LEAF_CHECK(node->listen());
    node->m_controlPlane->start();
    node->m_timerThread = std::thread([raw = node.get()] { raw->runTimer(); });
    logger.info("Node started for service " + node->m_settings.service.text() + " in data centre "
        + node->m_settings.dataCentre.text() + ".");
    return node;
}

Node::Node(NodeSettings settings, const Clock& clock, StateChart endpointChart)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_startedAt(clock.now())
    , m_incarnation { randomNonZero() }
    , m_client(clock)
    , m_services(m_settings.vm, m_settings.dataCentre, std::move(endpointChart), clock, randomNonZero())
{
    m_client.onMalformedResponse = [this](const Address& from, std::string_view fault) {
        m_metrics.count("snipeweir_malformed_responses_total");
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(m_clock.now().time_since_epoch()).count();
        if (m_malformedResponseLoggedAt.exchange(second) == second)
            return;
        logger.warning("The response of " + from.text() + " is malformed (" + std::string(fault) + ").");
    };
}

Result<void> Node::createComponents(const std::string& chartDirectory)
{
    const Policy policy;
    BOOST_LEAF_ASSIGN(m_pauseDetector, PauseDetector::create(pauseDetectorSettings(policy), m_clock));
    KeyIssuerSettings issuerSettings;
    issuerSettings.secrets = keySecrets(m_settings);
    BOOST_LEAF_ASSIGN(m_keyIssuer, KeyIssuer::create(std::move(issuerSettings)));
    BOOST_LEAF_ASSIGN(m_inboundProxy,
        InboundProxy::create(
            { m_settings, m_clock, m_metrics, m_client, *m_pauseDetector, *m_keyIssuer, m_incarnation, m_startedAt },
            policy));
    m_inboundProxy->setServingState(ServingState::StaleView);

    ControlPlaneHooks hooks;
    hooks.onView = [this](const std::shared_ptr<const RoutingView>& view) { onView(view); };
    hooks.ownLoadReport = [this] { return m_inboundProxy->loadReport(); };
    hooks.probesDue = [this] {
        std::vector<VmId> due;
        for (const auto& [name, service] : m_services.calledServices()) {
            for (const VmId& vm : service->probesDue())
                due.push_back(vm);
        }
        return due;
    };
    hooks.onLoadReport = [this](const VmId& vm, const LoadReport& report) {
        const auto view = m_services.view();
        const VmRecord* record = view->vmList ? view->vmList->find(vm) : nullptr;
        if (CalledService* service = record ? m_services.findOrCreate(record->service) : nullptr)
            service->onLoadReport(vm, report);
    };
    BOOST_LEAF_ASSIGN(m_controlPlane,
        ControlPlane::create(
            { m_settings, m_clock, m_metrics, m_client, *m_pauseDetector, m_incarnation, chartDirectory },
            std::move(hooks)));

    OutboundProxyDependencies outbound { m_settings, m_clock, m_metrics, m_client, *m_pauseDetector, *m_keyIssuer,
        m_services, m_decisions };
    outbound.idSeed = m_incarnation.value;
    outbound.onReachability = [this](const VmId& vm, bool isReachable) {
        m_controlPlane->reportCallEvidence(vm, isReachable ? OwnEvidence::Alive : OwnEvidence::Unreachable);
    };
    outbound.sendCancellation = [this](const Address& to, const CallId& id) { m_rpc->cancelCall(to, id); };
    m_outboundProxy = std::make_unique<OutboundProxy>(std::move(outbound));

    AdminPagesDependencies admin { m_settings, m_clock, m_metrics, *m_pauseDetector, m_services, *m_inboundProxy,
        *m_controlPlane, m_decisions, m_incarnation, m_startedAt };
    admin.nodeState = [this] {
        return std::string(m_isDraining ? "draining" : m_services.view()->isUsable() ? "serving" : "starting");
    };
    admin.activeCalls = [this] { return activeCalls(); };
    admin.fetchStatus = [this](const VmId& vm) { return m_rpc->fetchStatus(vm); };
    m_adminPages = std::make_unique<AdminPages>(std::move(admin));
    BOOST_LEAF_ASSIGN(m_rpc,
        NodeRpc::create(
            { m_settings, m_clock, m_metrics, m_client, m_services, *m_inboundProxy, m_decisions, *m_adminPages }));
    return {};
}

Result<void> Node::listen()
{
    const auto refuseConnection = [this](HttpServerExchange& exchange) {
        const Outcome outcome = outcomeOfRefusal(exchange);
        m_metrics.countOutcome(outcome, Reason::ConnectionLimit);
        respondOutcome(exchange, CallId("none"), outcome, Reason::ConnectionLimit);
    };
    HttpServerSettings internalServer;
    internalServer.address = m_settings.ip + ":" + std::to_string(m_settings.internalPort);
    internalServer.handler = [this](HttpServerExchange& exchange) { handleInternal(exchange); };
    internalServer.onConnectionLimit = refuseConnection;
    BOOST_LEAF_ASSIGN(m_internalServer, HttpServer::create(std::move(internalServer), m_clock));
    HttpServerSettings publicServer;
    publicServer.address = m_settings.ip + ":" + std::to_string(m_settings.publicPort);
    publicServer.handler = [this](HttpServerExchange& exchange) { handlePublic(exchange); };
    publicServer.onConnectionLimit = refuseConnection;
    BOOST_LEAF_ASSIGN(m_publicServer, HttpServer::create(std::move(publicServer), m_clock));
    m_metrics.addGauge(
        "snipeweir_public_connections", [this] { return static_cast<double>(m_publicServer->connections()); });
    m_metrics.addGauge(
        "snipeweir_internal_connections", [this] { return static_cast<double>(m_internalServer->connections()); });
    return {};
}

Node::~Node()
{
    // Stop the listeners first, so that no request uses a destroyed component. The server objects stay until all
    // handlers have returned, because a handler that renders the metrics page reads them.
    m_isStopping = true;
    if (m_timerThread.joinable())
        m_timerThread.join();
    if (m_publicServer)
        m_publicServer->stop();
    if (m_internalServer)
        m_internalServer->stop();
    if (m_controlPlane)
        m_controlPlane->stop();
    m_outboundProxy.reset();
}

size_t Node::activeCalls() const { return m_outboundProxy->activeCalls() + m_inboundProxy->activeCalls(); }

void Node::handlePublic(HttpServerExchange& exchange)
{
    if (m_adminPages->handle(exchange))
        return;
    if (exchange.method() == "DELETE" && exchange.path().starts_with(cancelPathPrefix)) {
        const bool wasFound
            = m_outboundProxy->cancel(CallId(std::string(exchange.path().substr(cancelPathPrefix.size()))));
        return exchange.respond(wasFound ? 202 : 404, {}, "");
    }
    m_outboundProxy->handle(exchange);
}

void Node::handleInternal(HttpServerExchange& exchange)
{
    if (exchange.path() == "/rpc")
        return m_rpc->serve(exchange);
    m_inboundProxy->handle(exchange);
}

void Node::onView(const std::shared_ptr<const RoutingView>& view)
{
    if (view->configuration) {
        const Policy policy = view->configuration->policyFor(m_settings.service, m_settings.dataCentre, m_settings.vm);
        m_inboundProxy->setPolicy(policy);
        m_pauseDetector->setSettings(pauseDetectorSettings(policy));
        m_publicServer->setMaxConnections(policy.maxConnections);
        m_internalServer->setMaxConnections(policy.maxConnections);
    }
    m_services.setView(view);
    updateServingState();
}

void Node::updateServingState()
{
    const auto view = m_services.view();
    const VmRecord* self = view->vmList ? view->vmList->find(m_settings.vm) : nullptr;
    ServingState state = ServingState::Serving;
    if (m_isDraining || (self && self->isLeaving))
        state = ServingState::Draining;
    else if (!view->isUsable())
        state = ServingState::StaleView;
    else if (!view->configuration->isDataCentreInService(m_settings.dataCentre))
        state = ServingState::DataCentreOut;
    else if (!view->configuration->isVmInService(m_settings.vm))
        state = ServingState::VmOut;
    m_inboundProxy->setServingState(state);
}

void Node::runTimer()
{
    while (!m_isStopping) {
        m_pauseDetector->checkForPause();
        m_inboundProxy->expireQueuedCalls();
        std::this_thread::sleep_for(timerInterval);
    }
}

bool Node::drain()
{
    logger.info("Draining started.");
    const auto view = m_services.view();
    const auto timeout = view->configuration
        ? view->configuration->policyFor(m_settings.service, m_settings.dataCentre, m_settings.vm).drainTimeout
        : Policy {}.drainTimeout;
    m_isDraining = true;
    m_outboundProxy->startDraining();
    updateServingState();
    m_controlPlane->leave();
    const SteadyTime drainStartedAt = m_clock.now();
    while (m_clock.now() - drainStartedAt < minLeaveDuration || activeCalls() > 0) {
        if (m_clock.now() - drainStartedAt >= timeout && activeCalls() > 0) {
            logger.error("The drain timeout of " + std::to_string(timeout.count()) + " ms expired with "
                + std::to_string(activeCalls()) + " calls in flight.");
            return false;
        }
        std::this_thread::sleep_for(drainPollInterval);
    }
    logger.info("Draining finished; all calls have ended.");
    return true;
}

}

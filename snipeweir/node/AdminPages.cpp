#include "snipeweir/node/AdminPages.h"

namespace snipeweir {

namespace {

    constexpr std::string_view explainPathPrefix = "/admin/explain/";
    constexpr std::string_view nodesPathPrefix = "/admin/nodes/";
    constexpr std::string_view nodeStatusPathSuffix = "/status";
    constexpr size_t maxEvents = 500;

    void respondJson(HttpServerExchange& exchange, const Json::Value& value)
    {
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        exchange.respond(200, { { "Content-Type", "application/json" } }, Json::writeString(writer, value) + "\n");
    }

    Json::Value loadJson(const LoadReport& report)
    {
        Json::Value value;
        value["in_flight"] = report.inFlight;
        value["queued"] = report.queued;
        value["limit"] = report.limit;
        value["phase"] = std::string(phaseName(report.phase));
        value["service_time_us"] = Json::Int64(report.serviceTime.count());
        value["uptime_ms"] = Json::Int64(report.uptime.count());
        return value;
    }

}

bool AdminPages::handle(HttpServerExchange& exchange)
{
    const std::string path(exchange.path());
    if (path == "/metrics")
        exchange.respond(200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_dependencies.metrics.text());
    else if (path == "/admin/status")
        respondJson(exchange, status());
    else if (path == "/admin/fleet")
        respondJson(exchange, fleet());
    else if (path == "/admin/events")
        respondJson(exchange, events());
    else if (path.starts_with(explainPathPrefix)) {
        const Json::Value value = m_dependencies.decisions.find(CallId(path.substr(explainPathPrefix.size())));
        if (value.isNull())
            exchange.respond(404, { { "Content-Type", "application/json" } }, "{\"error\":\"call not known here\"}\n");
        else
            respondJson(exchange, value);
    } else if (path.starts_with(nodesPathPrefix) && path.ends_with(nodeStatusPathSuffix)
        && path.size() > nodesPathPrefix.size() + nodeStatusPathSuffix.size()) {
        const size_t vmNameBytes = path.size() - nodesPathPrefix.size() - nodeStatusPathSuffix.size();
        respondNodeStatus(exchange, VmId(path.substr(nodesPathPrefix.size(), vmNameBytes)));
    } else
        return false;
    return true;
}

void AdminPages::respondNodeStatus(HttpServerExchange& exchange, const VmId& vm) const
{
    Json::Value value;
    const auto error = errorOf([&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(value, m_dependencies.fetchStatus(vm));
        return {};
    });
    if (!error)
        return respondJson(exchange, value);
    const int status = error->code == ErrorCode::NotFound ? 404 : error->code == ErrorCode::Timeout ? 504 : 502;
    Json::Value response;
    response["error"] = error->message;
    exchange.respond(status, { { "Content-Type", "application/json" } }, response.toStyledString());
}

Json::Value AdminPages::status() const
{
    const auto view = m_dependencies.services.view();
    Json::Value value;
    value["vm"] = m_dependencies.settings.vm.text();
    value["data_centre"] = m_dependencies.settings.dataCentre.text();
    value["service"] = m_dependencies.settings.service.text();
    value["version"] = SNIPEWEIR_VERSION;
    value["state"] = m_dependencies.nodeState();
    value["incarnation"] = Json::UInt64(m_dependencies.incarnation.value);
    value["uptime_ms"] = Json::Int64(
        std::chrono::duration_cast<std::chrono::milliseconds>(m_dependencies.clock.now() - m_dependencies.startedAt)
            .count());
    value["is_view_fresh"] = m_dependencies.pauseDetector.isViewFresh() && view->isUsable();
    value["pauses"] = Json::UInt64(m_dependencies.pauseDetector.pauseCount());
    value["active_calls"] = Json::UInt64(m_dependencies.activeCalls());
    value["load"] = loadJson(m_dependencies.inboundProxy.loadReport());
    value["documents"] = m_dependencies.controlPlane.documents();
    value["endpoints"] = Json::arrayValue;
    for (const auto& [name, service] : m_dependencies.services.calledServices()) {
        for (const EndpointSnapshot& endpoint : service->snapshot()) {
            Json::Value entry;
            entry["service"] = name.text();
            entry["vm"] = endpoint.vm.text();
            entry["data_centre"] = endpoint.dataCentre.text();
            entry["phase"] = std::string(phaseName(endpoint.phase));
            entry["is_candidate"] = endpoint.isCandidate;
            entry["own_in_flight"] = endpoint.ownInFlight;
            entry["estimated_cost_us"] = Json::Int64(endpoint.estimatedCost.count());
            entry["ramp_percent"] = endpoint.rampPercent;
            entry["report_age_ms"] = endpoint.reportAge
                ? Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(*endpoint.reportAge).count())
                : Json::Int64(-1);
            value["endpoints"].append(entry);
        }
    }
    return value;
}

Json::Value AdminPages::fleet() const
{
    const auto view = m_dependencies.services.view();
    Json::Value value;
    value["vm"] = m_dependencies.settings.vm.text();
    value["documents"] = m_dependencies.controlPlane.documents();
    value["view_age_ms"] = Json::Int64(
        std::chrono::duration_cast<std::chrono::milliseconds>(m_dependencies.clock.now() - view->createdAt).count());
    value["members"] = Json::arrayValue;
    for (const MemberView& member : view->members) {
        Json::Value entry;
        entry["vm"] = member.peer.vm.text();
        entry["data_centre"] = member.peer.dataCentre.text();
        entry["region"] = member.peer.region.text();
        entry["service"] = member.service.text();
        entry["state"] = std::string(memberStateName(member.state));
        entry["age_ms"] = Json::Int64(member.age.count());
        entry["is_data_centre_reachable"] = member.isDataCentreReachable;
        entry["own_evidence"] = std::string(ownEvidenceName(member.ownEvidence));
        if (view->configuration) {
            entry["in_service"] = view->configuration->isDataCentreInService(member.peer.dataCentre)
                && view->configuration->isVmInService(member.peer.vm);
        }
        value["members"].append(entry);
    }
    return value;
}

Json::Value AdminPages::events() const
{
    Json::Value value;
    value["vm"] = m_dependencies.settings.vm.text();
    const std::string text = m_dependencies.controlPlane.events().toJson(maxEvents);
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &value["events"], nullptr);
    return value;
}

}

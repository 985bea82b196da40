#include "TraceReplay.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <stdexcept>
#include <xxhash.h>

namespace snipeweir {

namespace {

    constexpr std::chrono::milliseconds deadline { 2000 };
    constexpr std::chrono::microseconds refusalTime { 500 };
    constexpr size_t recordsPerCall = 8;

    size_t logCapacity(const Json::Value& trace)
    {
        size_t callCount = 1;
        for (const Json::Value& event : trace["events"]) {
            if (event["event"].asString() == "calls")
                callCount += event["for_ms"].asUInt64() * 1000 / event["every_us"].asUInt64();
        }
        return callCount * recordsPerCall;
    }

    DecisionRecord makeRecord(
        DecisionRecord::Kind kind, const VmId& vm = {}, Outcome outcome = Outcome::Done, Reason reason = Reason::None)
    {
        DecisionRecord record;
        record.kind = kind;
        record.vm = vm;
        record.outcome = outcome;
        record.reason = reason;
        return record;
    }

    RouterSettings routerSettings(const Json::Value& trace)
    {
        RouterSettings settings;
        settings.ownDataCentre = DataCentreName(trace["own_data_centre"].asString());
        if (trace.isMember("return_ramp_ms"))
            settings.rampDuration = std::chrono::milliseconds(trace["return_ramp_ms"].asInt64());
        if (trace.isMember("ejection_ms"))
            settings.ejectionDuration = std::chrono::milliseconds(trace["ejection_ms"].asInt64());
        return settings;
    }

}

TraceReplay::TraceReplay(const Json::Value& trace)
    : m_start(m_clock.now())
    , m_retryPolicy(RetrySettings())
    , m_log(logCapacity(trace))
{
    const auto chart = StateChart::load(std::string(SNIPEWEIR_SOURCE_DIRECTORY) + "/charts/endpoint.json").value();
    m_router = std::move(Router::create(routerSettings(trace), chart, m_clock, trace["seed"].asUInt64()).value());
    std::vector<EndpointCandidate> candidates;
    for (const Json::Value& item : trace["endpoints"]) {
        Endpoint endpoint;
        endpoint.candidate.vm = VmId(item["vm"].asString());
        endpoint.candidate.dataCentre = DataCentreName(item["data_centre"].asString());
        endpoint.behaviour = trace["behaviour"];
        endpoint.startedAt = m_start - std::chrono::hours(1);
        candidates.push_back(endpoint.candidate);
        m_endpoints.push_back(std::move(endpoint));
    }
    m_router->updateEndpoints(candidates);
    for (const Json::Value& event : trace["events"])
        schedule(m_start + std::chrono::milliseconds(event["at_ms"].asInt64()), [this, event] { applyEvent(event); });
}

void TraceReplay::schedule(SteadyTime at, std::function<void()> action)
{
    m_events.push({ at, m_sequence++, std::move(action) });
}

void TraceReplay::run()
{
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_clock.moveTo(event.at);
        event.action();
    }
}

size_t TraceReplay::indexOf(const std::string& vm) const
{
    const auto found = std::find_if(m_endpoints.begin(), m_endpoints.end(),
        [&vm](const Endpoint& endpoint) { return endpoint.candidate.vm.text() == vm; });
    if (found == m_endpoints.end())
        throw std::runtime_error("The trace names the unknown endpoint " + vm + ".");
    return static_cast<size_t>(found - m_endpoints.begin());
}

void TraceReplay::applyEvent(const Json::Value& event)
{
    const std::string type = event["event"].asString();
    if (type == "calls") {
        startCalls(event);
        return;
    }
    for (const Json::Value& vm : event["vms"]) {
        Endpoint& endpoint = m_endpoints[indexOf(vm.asString())];
        if (type == "behaviour") {
            for (const std::string& key : event["set"].getMemberNames())
                endpoint.behaviour[key] = event["set"][key];
        } else if (type == "service") {
            endpoint.candidate.isInService = event["in_service"].asBool();
        } else if (type == "restart") {
            ++endpoint.incarnation;
            endpoint.startedAt = m_clock.now();
            endpoint.newestUptime = {};
        } else {
            throw std::runtime_error("The trace has the unknown event " + type + ".");
        }
    }
    std::vector<EndpointCandidate> candidates;
    for (const Endpoint& endpoint : m_endpoints)
        candidates.push_back(endpoint.candidate);
    m_router->updateEndpoints(candidates);
}

void TraceReplay::startCalls(const Json::Value& event)
{
    const auto kind = event["kind"].asString() == "keyed" ? RequestKind::Keyed : RequestKind::Idempotent;
    const auto end = m_clock.now() + std::chrono::milliseconds(event["for_ms"].asInt64());
    const std::chrono::microseconds interval(event["every_us"].asInt64());
    for (SteadyTime at = m_clock.now(); at < end; at += interval) {
        schedule(at, [this, kind] {
            auto call = std::make_shared<Call>();
            call->id = CallId("call-" + std::to_string(m_callCount++));
            call->kind = kind;
            call->startedAt = m_clock.now();
            m_retryPolicy.onFirstAttempt();
            attempt(call);
        });
    }
}

LoadReport TraceReplay::makeLoadReport(const Endpoint& endpoint, SteadyTime createdAt) const
{
    LoadReport report;
    report.inFlight = endpoint.inFlightCount;
    report.limit = endpoint.behaviour["limit"].asUInt();
    report.phase = phaseFromName(endpoint.behaviour["phase"].asString()).value();
    report.serviceTime = std::chrono::microseconds(endpoint.behaviour["service_time_us"].asInt64());
    report.uptime = std::chrono::duration_cast<std::chrono::milliseconds>(createdAt - endpoint.startedAt);
    report.incarnation = Incarnation { endpoint.incarnation };
    return report;
}

void TraceReplay::attempt(const std::shared_ptr<Call>& call)
{
    ++call->attempts;
    ChooseRequest request;
    request.excluded = call->tried;
    const auto choice = m_router->choose(request);
    if (!choice) {
        record(*call, makeRecord(DecisionRecord::Kind::NoEndpoint));
        finish(*call, {}, Outcome::NotRun, Reason::NoEndpoint);
        return;
    }
    DecisionRecord chosen = makeRecord(DecisionRecord::Kind::Chosen, choice->vm);
    chosen.considered = choice->considered;
    record(*call, chosen);
    call->tried.push_back(choice->vm);
    m_router->onSent(choice->vm);

    // The endpoint refuses above its limit, and otherwise responds as the trace states. The transit time delays a
    // response after its load report was created, so that responses and their reports may arrive out of order.
    const size_t index = indexOf(choice->vm.text());
    Endpoint& endpoint = m_endpoints[index];
    const bool isRefused = endpoint.inFlightCount >= endpoint.behaviour["limit"].asUInt();
    const bool isCold = endpoint.behaviour["phase"].asString() == "cold";
    const Json::Value& latencies = endpoint.behaviour["latencies_us"];
    const Json::Value& transits = endpoint.behaviour["transits_us"];
    const auto number = static_cast<Json::ArrayIndex>(endpoint.responseCount++);
    const std::chrono::microseconds processingTime
        = isRefused ? refusalTime : std::chrono::microseconds(latencies[number % latencies.size()].asInt64());
    const std::chrono::microseconds transitTime(transits[number % transits.size()].asInt64());
    const bool isLost = !isRefused && endpoint.behaviour["answer"].asString() == "lost";
    const CallResult::Kind kind = isRefused ? CallResult::Kind::Refused
        : isLost                            ? CallResult::Kind::Lost
                                            : CallResult::Kind::Succeeded;
    const Reason refusal = isCold ? Reason::ColdLimit : Reason::ServerLimit;
    const Reason reason = isRefused ? refusal : isLost ? Reason::ConnectionLost : Reason::None;
    endpoint.inFlightCount += isRefused ? 0 : 1;
    const uint64_t incarnation = endpoint.incarnation;
    schedule(
        m_clock.now() + processingTime, [this, call, index, kind, reason, processingTime, transitTime, incarnation] {
            Endpoint& served = m_endpoints[index];
            LoadReport report = makeLoadReport(served, m_clock.now());
            report.incarnation = Incarnation { incarnation };
            served.inFlightCount -= kind == CallResult::Kind::Refused ? 0 : 1;
            schedule(m_clock.now() + transitTime,
                [this, call, index, kind, reason, report, latency = processingTime + transitTime] {
                    onAttemptFinished(call, index, { kind, latency }, reason, report);
                });
        });
}

void TraceReplay::onAttemptFinished(
    const std::shared_ptr<Call>& call, size_t index, CallResult result, Reason reason, const LoadReport& report)
{
    Endpoint& endpoint = m_endpoints[index];
    const VmId vm = endpoint.candidate.vm;
    m_router->onFinished(vm, result);
    if (result.kind != CallResult::Kind::Lost) {
        m_router->onLoadReport(vm, report);
        if (report.incarnation.value == endpoint.incarnation)
            endpoint.newestUptime = std::max(endpoint.newestUptime, report.uptime);
    }
    if (result.kind == CallResult::Kind::Succeeded) {
        finish(*call, vm, Outcome::Done, Reason::None);
        return;
    }

    // Asks the retry policy whether to make another attempt.
    const bool isRefused = result.kind == CallResult::Kind::Refused;
    RetryRequest request;
    request.kind = call->kind;
    request.outcome = isRefused ? Outcome::NotRun : Outcome::Unknown;
    request.reason = reason;
    request.attempts = call->attempts;
    request.remaining
        = std::chrono::duration_cast<std::chrono::milliseconds>(call->startedAt + deadline - m_clock.now());
    const auto kind = isRefused ? DecisionRecord::Kind::Refused : DecisionRecord::Kind::Lost;
    record(*call, makeRecord(kind, vm, request.outcome, reason));
    const RetryDecision decision = m_retryPolicy.decide(request);
    DecisionRecord decided
        = makeRecord(decision.isRetry() ? DecisionRecord::Kind::Retried : DecisionRecord::Kind::RetryDenied, vm);
    decided.retryReason = decision.reason;
    record(*call, decided);
    if (decision.action == RetryDecision::Action::OtherEndpoint) {
        ++m_retryCount;
        attempt(call);
    } else {
        finish(*call, vm, request.outcome, reason);
    }
}

void TraceReplay::finish(const Call& call, const VmId& vm, Outcome outcome, Reason reason)
{
    record(call, makeRecord(DecisionRecord::Kind::Finished, vm, outcome, reason));
    const auto startedAt = std::chrono::duration_cast<std::chrono::milliseconds>(call.startedAt - m_start);
    m_finishedCalls.push_back({ startedAt, vm, outcome });
}

void TraceReplay::record(const Call& call, DecisionRecord decision)
{
    decision.call = call.id;
    decision.at = m_clock.now();
    decision.attempt = call.attempts;
    m_log.append(decision);
}

std::chrono::milliseconds TraceReplay::newestUptime(const VmId& vm) const
{
    return m_endpoints[indexOf(vm.text())].newestUptime;
}

std::string TraceReplay::hash(const std::string& text)
{
    std::array<char, 17> hex {};
    std::snprintf(
        hex.data(), hex.size(), "%016llx", static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
    return hex.data();
}

}

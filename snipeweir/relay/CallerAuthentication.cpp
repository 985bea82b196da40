#include "snipeweir/relay/CallerAuthentication.h"

#include "snipeweir/core/IgnoreCase.h"

#include <algorithm>

namespace snipeweir {

namespace {

    /// The organisation's priority goes before the route's, which orders the requests of organisations of one priority.
    /// Requests without an organisation are calls of backend servers: rejecting one wastes the run that needs it, so
    /// they keep the priority of their route, before those of organisations with a priority of 1 or more.
    constexpr uint32_t routePriorityCount = 1000;
    constexpr uint32_t maxOrganisationPriority = 1'000'000;

    /// @return The key in the value of an authorization field; empty if the value has another scheme or no key.
    std::string_view keyIn(std::string_view value, std::string_view scheme)
    {
        const size_t space = std::min(value.find(' '), value.size());
        if (!equalsIgnoringCase(value.substr(0, space), scheme))
            return {};
        value.remove_prefix(space);
        const size_t begin = value.find_first_not_of(" \t");
        if (begin == std::string_view::npos)
            return {};
        return value.substr(begin, value.find_last_not_of(" \t") + 1 - begin);
    }

}

CallerAuthentication::CallerAuthentication(const FleetView& view, const ConfigurationFreshness& freshness,
    const WireNames& names, JsonLog& log, Metrics& metrics)
    : m_view(view)
    , m_freshness(freshness)
    , m_names(names)
    , m_log(log)
    , m_metrics(metrics)
{
}

std::optional<CallerAuthentication::Rejection> CallerAuthentication::authenticate(
    const Route& route, RelayRequest& request, Credential& credential)
{
    auto rejection = check(route, request, credential);
    if (!request.organisation.empty())
        m_counters.onRequest(request.organisation);
    if (rejection) {
        report(*rejection, route, request);
        // Requests that are rejected now have no response that is counted later.
        onResponse(request.organisation, Outcome::NotRun);
    }
    return rejection;
}

std::optional<CallerAuthentication::Rejection> CallerAuthentication::recheck(
    const Route& route, RelayRequest& request, Credential& credential)
{
    auto rejection = check(route, request, credential);
    if (rejection)
        report(*rejection, route, request);
    return rejection;
}

bool CallerAuthentication::mayStillRun(
    const Route& route, const std::string& organisation, const Credential& credential) const
{
    const auto table = organisations();
    if (!table)
        return true;
    const Organisation* found = credential.key ? table->find(*credential.key) : nullptr;
    return found ? found->name == organisation : organisation.empty() && !route.requiresKey;
}

std::shared_ptr<const OrganisationTable> CallerAuthentication::organisations() const
{
    const auto routes = m_view.routes();
    return routes ? routes->configuration().organisations : nullptr;
}

std::optional<CallerAuthentication::Rejection> CallerAuthentication::check(
    const Route& route, RelayRequest& request, Credential& credential)
{
    const auto table = organisations();
    if (!table)
        return std::nullopt;
    takeKey(request, credential);
    const Organisation* organisation = credential.key ? table->find(*credential.key) : nullptr;
    if (!organisation && route.requiresKey)
        return denial(credential);
    request.organisation = organisation ? organisation->name : std::string();
    if (!organisation)
        return std::nullopt;
    request.priority = std::min(organisation->priority.value_or(0), maxOrganisationPriority) * routePriorityCount
        + std::min(route.priority, routePriorityCount - 1);
    // Nodes of earlier versions forward this field to the backend server.
    request.headers.push_back({ m_names.organisation, organisation->name });
    const bool mayAccept = m_freshness.mayAccept();
    reportFreshness(!mayAccept);
    if (!mayAccept)
        return Rejection { 503, Reason::ConfigurationUnconfirmed };
    return std::nullopt;
}

void CallerAuthentication::takeKey(RelayRequest& request, Credential& credential) const
{
    size_t count = 0;
    std::erase_if(request.headers, [&](const HeaderField& field) {
        if (!equalsIgnoringCase(field.name, m_names.authorization))
            return equalsIgnoringCase(field.name, m_names.organisation);
        const std::string_view key = keyIn(field.value, m_names.authorizationScheme);
        credential.key.reset();
        // A request with several such fields names no key: recipients could choose different ones.
        if (++count == 1 && !key.empty())
            credential.key = OrganisationTable::digest(key);
        return true;
    });
}

CallerAuthentication::Rejection CallerAuthentication::denial(const Credential& credential) const
{
    // A later version than that of a node that is cut off may contain the key, or no organisations any more.
    if (!m_freshness.mayDeny())
        return { 503, Reason::ConfigurationUnconfirmed };
    const Reason reason = credential.key ? Reason::ApiKeyUnknown : Reason::ApiKeyMissing;
    return { statusFor(reason), reason };
}

unsigned CallerAuthentication::statusFor(Reason reason)
{
    return reason == Reason::ApiKeyUnknown || reason == Reason::ApiKeyMissing ? 401 : 503;
}

void CallerAuthentication::report(const Rejection& rejection, const Route& route, const RelayRequest& request)
{
    const std::string reason(reasonName(rejection.reason));
    m_metrics.count("snipeweir_key_rejections_total{reason=\"" + reason + "\"}");
    m_log.logRequest(JsonLog::Priority::Refusal, "key_rejected", request.id,
        { { "route", route.name }, { "reason", reason }, { "status", std::to_string(rejection.status) },
            { "organisation", request.organisation },
            { "configuration", std::to_string(m_view.routes()->configuration().version.value) } });
}

void CallerAuthentication::reportFreshness(bool isTooOld)
{
    if (isTooOld == m_isTooOld)
        return;
    m_isTooOld = isTooOld;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_freshness.age());
    m_log.logStateChange(
        isTooOld ? "keys_rejected_unconfirmed" : "keys_accepted_again", { { "age_ms", std::to_string(age.count()) } });
}

void CallerAuthentication::onResponse(const std::string& organisation, Outcome outcome)
{
    if (!organisation.empty())
        m_counters.onOutcome(organisation, outcome);
}

}

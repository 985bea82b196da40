#include "snipeweir/relay/CallerCall.h"

#include <algorithm>

namespace snipeweir {

namespace {

    /// Service time assumed for a route without statistics.
    constexpr std::chrono::microseconds defaultServiceTime { 120'000 };
    /// Maximum age, at the start of the choice, of a load report that counts as a reply to its query.
    constexpr std::chrono::milliseconds maxReplyAge { 20 };

}

asio::awaitable<const BackendEntry*> CallerPath::chooseBackendServer(Call& call, RelayRequest& request, Purpose purpose)
{
    // Rank the usable backend servers by load, responsiveness and data centre of their nodes, plus a random term.
    struct Option {
        const BackendEntry* entry;
        double rank;
    };
    std::vector<Option> options;
    const SteadyTime now = m_clock.now();
    for (const BackendEntry* entry : m_view.usable(request.service)) {
        const std::string& ip = entry->address.ip;
        if (std::find(call.attemptedNodes.begin(), call.attemptedNodes.end(), ip) != call.attemptedNodes.end())
            continue;
        const PeerLoads::Peer& peer = m_peers.peer(ip);
        const double utilization
            = static_cast<double>(peer.load.running + peer.load.waiting) / std::max(1U, peer.load.limit);
        const double unresponsiveness = m_peers.isSilent(ip) ? 10 : 0;
        const double distance = entry->dataCentre == m_relaySettings.dataCentre ? 0 : 0.3;
        options.push_back({ entry, utilization + unresponsiveness + distance + m_random.nextDouble() });
    }
    if (options.empty())
        co_return nullptr;

    // Query the nodes with the lowest rank for their load; this node's own load is known.
    std::sort(options.begin(), options.end(), [](const Option& a, const Option& b) { return a.rank < b.rank; });
    std::vector<std::string> queriedIps;
    std::vector<std::string> queriedInstances;
    for (const Option& option : options) {
        const bool isOwn = option.entry->address.ip == m_relaySettings.peersAddress.ip;
        if (!isOwn && queriedIps.size() >= m_settings.maxQueriedNodes)
            continue;
        if (!isOwn)
            queriedIps.push_back(option.entry->address.ip);
        queriedInstances.push_back(option.entry->instance);
    }
    co_await m_peers.queryLoads(queriedIps);

    // Read the view again, because it may have changed during the queries. Nodes that were not queried count as
    // unresponsive.
    std::vector<PlacementCandidate> candidates;
    std::vector<const BackendEntry*> entries;
    const SteadyTime chosenAt = m_clock.now();
    for (const BackendEntry* entry : m_view.usable(request.service)) {
        const std::string& ip = entry->address.ip;
        if (std::find(call.attemptedNodes.begin(), call.attemptedNodes.end(), ip) != call.attemptedNodes.end())
            continue;
        const bool wasQueried
            = std::find(queriedInstances.begin(), queriedInstances.end(), entry->instance) != queriedInstances.end();
        PlacementCandidate candidate;
        candidate.isSameDataCentre = entry->dataCentre == m_relaySettings.dataCentre;
        if (ip == m_relaySettings.peersAddress.ip) {
            candidate.load = m_server.load();
        } else {
            const PeerLoads::Peer& peer = m_peers.peer(ip);
            const bool hasReplied = peer.loadAt >= now - maxReplyAge;
            if (peer.loadAt == SteadyTime {})
                continue;
            candidate.isUnresponsive = !wasQueried || (!hasReplied && m_peers.isSilent(ip));
            candidate.load = peer.load;
            candidate.loadAge = std::chrono::duration_cast<std::chrono::microseconds>(chosenAt - peer.loadAt);
            candidate.roundTrip = peer.roundTrip;
        }
        if (candidate.load.instance != entry->instance)
            continue;
        candidates.push_back(candidate);
        entries.push_back(entry);
    }
    RequestProfile profile;
    const RouteStatistics::Entry& statistics = m_statistics.find(*call.route, request.service);
    profile.usualServiceTime = statistics.serviceTimeMicroseconds > 0
        ? std::chrono::microseconds(static_cast<int64_t>(statistics.serviceTimeMicroseconds))
        : defaultServiceTime;
    profile.timeToTarget = std::chrono::duration_cast<std::chrono::microseconds>(request.targetAt - chosenAt);
    profile.responseBytes = statistics.responseBytes;
    const auto best = m_placement.choose(profile, candidates);
    if (!best) {
        const auto known = std::count_if(
            candidates.begin(), candidates.end(), [](const auto& candidate) { return !candidate.isUnresponsive; });
        m_log.logRequest(JsonLog::Priority::Refusal, "no_choice", request.id,
            { { "service", request.service.text() }, { "usable", std::to_string(options.size()) },
                { "asked", std::to_string(queriedIps.size()) }, { "known", std::to_string(known) },
                { "backends_revision", m_view.backendVersion().text() } });
        co_return nullptr;
    }
    // A hedge that would be late as well only wastes a slot and a part of the fleet's retry budget.
    if (purpose == Purpose::Hedge && m_placement.expectedLatency(profile, candidates[*best]) > profile.timeToTarget)
        co_return nullptr;
    const BackendEntry* entry = entries[*best];
    request.instance = entry->instance;
    // Count this request in the node's load until its next report.
    ++m_peers.peer(entry->address.ip).load.running;
    co_return entry;
}

}

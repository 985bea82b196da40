#include "snipeweir/relay/CallerCall.h"

#include <algorithm>

namespace snipeweir {

namespace {

    /// Work assumed on a route of which no answer is known yet.
    constexpr std::chrono::microseconds usualWork { 120'000 };
    /// Age at which a load reported for this choice still counts as an answer to its question.
    constexpr std::chrono::milliseconds answerAge { 20 };

}

asio::awaitable<const BackendEntry*> CallerPath::choose(Call& call, RelayRequest& request, Purpose purpose)
{
    // Collect the backend servers that may be used, each with the node beside it.
    struct Option {
        const BackendEntry* entry;
        double rank;
    };
    std::vector<Option> options;
    const SteadyTime now = m_clock.now();
    for (const BackendEntry* entry : m_view.usable(request.service)) {
        const std::string& ip = entry->address.ip;
        if (std::find(call.tried.begin(), call.tried.end(), ip) != call.tried.end())
            continue;
        const PeerLoads::Peer& peer = m_peers.peer(ip);
        const double share = static_cast<double>(peer.load.running + peer.load.waiting) / std::max(1U, peer.load.limit);
        const double silence = m_peers.isSilent(ip) ? 10 : 0;
        const double distance = entry->dataCentre == m_node.dataCentre ? 0 : 0.3;
        options.push_back({ entry, share + silence + distance + m_random.unit() });
    }
    if (options.empty())
        co_return nullptr;

    // Ask a few, the likeliest first; the own node's load is known.
    std::sort(options.begin(), options.end(), [](const Option& a, const Option& b) { return a.rank < b.rank; });
    std::vector<std::string> asked;
    std::vector<std::string> instances;
    for (const Option& option : options) {
        const bool isOwn = option.entry->address.ip == m_node.peers.ip;
        if (!isOwn && asked.size() >= m_settings.askedNodes)
            continue;
        if (!isOwn)
            asked.push_back(option.entry->address.ip);
        instances.push_back(option.entry->instance);
    }
    co_await m_peers.ask(asked);

    // The view may have changed while the replies were on their way. Nodes that were not asked count as silent.
    std::vector<PlacementCandidate> candidates;
    std::vector<const BackendEntry*> entries;
    const SteadyTime chosenAt = m_clock.now();
    for (const BackendEntry* entry : m_view.usable(request.service)) {
        const std::string& ip = entry->address.ip;
        if (std::find(call.tried.begin(), call.tried.end(), ip) != call.tried.end())
            continue;
        const bool wasAsked = std::find(instances.begin(), instances.end(), entry->instance) != instances.end();
        PlacementCandidate candidate;
        candidate.isSameDataCentre = entry->dataCentre == m_node.dataCentre;
        if (ip == m_node.peers.ip) {
            candidate.load = m_server.load();
        } else {
            const PeerLoads::Peer& peer = m_peers.peer(ip);
            const bool hasAnswered = peer.loadAt >= now - answerAge;
            if (peer.loadAt == SteadyTime {})
                continue;
            candidate.isSilent = !wasAsked || (!hasAnswered && m_peers.isSilent(ip));
            candidate.load = peer.load;
            candidate.age = std::chrono::duration_cast<std::chrono::microseconds>(chosenAt - peer.loadAt);
            candidate.roundTrip = peer.roundTrip;
        }
        if (candidate.load.instance != entry->instance)
            continue;
        candidates.push_back(candidate);
        entries.push_back(entry);
    }
    RequestProfile profile;
    const RouteStatistics::Entry& statistics = m_statistics.find(*call.route, request.service);
    profile.work = statistics.work > 0 ? std::chrono::microseconds(static_cast<int64_t>(statistics.work)) : usualWork;
    profile.targetLeft = std::chrono::duration_cast<std::chrono::microseconds>(request.targetAt - chosenAt);
    profile.answerBytes = statistics.answerBytes;
    const auto best = m_placement.choose(profile, candidates);
    if (!best) {
        const auto known = std::count_if(
            candidates.begin(), candidates.end(), [](const auto& candidate) { return !candidate.isSilent; });
        m_log.request(JsonLog::Weight::Refusal, "no_choice", request.id,
            { { "service", request.service.text() }, { "usable", std::to_string(options.size()) },
                { "asked", std::to_string(asked.size()) }, { "known", std::to_string(known) },
                { "backends_revision", std::to_string(m_view.backendRevision().value) } });
        co_return nullptr;
    }
    // A hedge that would be late as well only costs the fleet's budget and a slot.
    if (purpose == Purpose::Hedge && m_placement.expectedLatency(profile, candidates[*best]) > profile.targetLeft)
        co_return nullptr;
    const BackendEntry* entry = entries[*best];
    request.instance = entry->instance;
    // Until the next report the node counts this request itself.
    ++m_peers.peer(entry->address.ip).load.running;
    co_return entry;
}

}

#include "snipeweir/organisations/QuotaClient.h"

#include <algorithm>
#include <cmath>

namespace snipeweir {

namespace {

    constexpr uint32_t milliTokensPerToken = 1000;
    constexpr double maxTokensPerRequest = 1000;

    double seconds(std::chrono::nanoseconds time) { return std::chrono::duration<double>(time).count(); }

    std::chrono::nanoseconds fromSeconds(double time)
    {
        constexpr double longest = 3600;
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(std::clamp(time, 0.0, longest)));
    }

}

double QuotaClient::fallbackRate() const
{
    // In a window, unspent tokens of one lifetime are spent beside those that are granted, and each node may use a turn
    // of before the window.
    const double window = seconds(m_bounds.window);
    const double left = m_bounds.overage * window - seconds(m_settings.tokenLifetime);
    const double share = m_settings.fallbackShare * left / (window + seconds(m_settings.turnLifetime));
    return std::clamp(share, 0.0, m_settings.maxFallback);
}

QuotaClient::State& QuotaClient::state(uint64_t organisation, const Organisation& limit)
{
    State& state = m_states[organisation];
    const SteadyTime now = m_clock.now();
    state.rate = limit.requestsPerSecond;
    const double decay = std::exp(-seconds(now - state.demandAt));
    state.demand *= decay;
    state.granted *= decay;
    state.demandAt = now;
    return state;
}

std::optional<QuotaDecision> QuotaClient::acquire(uint64_t id, const Organisation& limit)
{
    if (!(limit.requestsPerSecond > 0))
        return QuotaDecision();
    const SteadyTime now = m_clock.now();
    prune();
    const uint64_t organisation = organisationHash(limit.name);
    State& current = state(organisation, limit);
    ++current.demand;
    if (current.waiting.empty()) {
        if (auto decision = takeToken(current)) {
            ask(organisation, current);
            return decision;
        }
        if (now < current.deniedUntil)
            return reject(current, current.deniedUntil);
    }
    current.waiting.push_back({ id, now + m_settings.maxWait });
    m_active.insert(organisation);
    if (ask(organisation, current))
        return std::nullopt;
    current.waiting.pop_back();
    return decideAlone(current);
}

std::optional<QuotaDecision> QuotaClient::takeToken(State& state)
{
    const SteadyTime now = m_clock.now();
    while (!state.tokens.empty() && (state.tokens.front().expiresAt <= now || state.tokens.front().count == 0))
        state.tokens.pop_front();
    if (state.tokens.empty())
        return std::nullopt;
    --state.tokens.front().count;
    ++m_counters.admitted;
    QuotaDecision decision;
    decision.expiresAt = state.tokens.front().expiresAt;
    return decision;
}

void QuotaClient::giveBack(const std::string& organisation, const QuotaDecision& decision)
{
    const auto found = m_states.find(organisationHash(organisation));
    if (found == m_states.end() || decision.expiresAt <= m_clock.now())
        return;
    found->second.tokens.push_front({ 1, decision.expiresAt });
    serve(found->second);
}

QuotaDecision QuotaClient::reject(State& state, SteadyTime earliest)
{
    const SteadyTime now = m_clock.now();
    ++m_counters.rejected;
    // Rejected requests return one after the other, as fast as this node gets tokens.
    const double nodes = static_cast<double>(std::max<size_t>(1, m_members.highestCount()));
    const auto spacing = fromSeconds(1 / std::max(state.granted, state.rate / nodes));
    const auto longest = std::max<std::chrono::nanoseconds>(m_settings.maxRetryAfter, fromSeconds(1 / state.rate));
    state.lastRetryAt = std::clamp(state.lastRetryAt + spacing, earliest, std::max(earliest, now + longest));
    QuotaDecision decision;
    decision.isAdmitted = false;
    decision.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(state.lastRetryAt - now);
    return decision;
}

QuotaDecision QuotaClient::decideAlone(State& state)
{
    // The nodes take turns by the wall clock: turn k belongs to the node with rank k modulo the number of nodes. So the
    // number of turns in a window follows from the rate, whichever nodes have no granter.
    const SteadyTime now = m_clock.now();
    const double turnsPerSecond = state.rate * fallbackRate();
    const auto rank = m_members.rank();
    if (!rank || turnsPerSecond <= 0)
        return reject(state, now + m_settings.silentBackoff);
    const auto nodes = static_cast<int64_t>(std::max<size_t>(1, m_members.highestCount()));
    const double wall = seconds(m_clock.wallTime().time_since_epoch());
    const auto turn = static_cast<int64_t>(std::floor(wall * turnsPerSecond));
    const int64_t ownTurn = turn - ((turn - static_cast<int64_t>(*rank)) % nodes + nodes) % nodes;
    const double age = wall - static_cast<double>(ownTurn) / turnsPerSecond;
    // The process may have used a turn before it was started anew.
    const bool hasJustStarted = now < m_startedAt + m_settings.turnLifetime;
    if (ownTurn > state.lastTurn && age < seconds(m_settings.turnLifetime) && !hasJustStarted) {
        state.lastTurn = ownTurn;
        ++m_counters.admitted;
        ++m_counters.fallbacks;
        return {};
    }
    const double nextTurn = static_cast<double>(ownTurn + nodes) / turnsPerSecond - wall;
    const auto untilTurn = fromSeconds(nextTurn);
    return reject(state, now + std::min<std::chrono::nanoseconds>(untilTurn, m_settings.silentBackoff));
}

bool QuotaClient::ask(uint64_t organisation, State& state)
{
    const SteadyTime now = m_clock.now();
    for (const auto& [nonce, pending] : state.asks) {
        if (pending.isCurrent)
            return true;
    }
    uint64_t held = 0;
    for (const Tokens& tokens : state.tokens)
        held += tokens.count;
    const auto wanted = static_cast<uint64_t>(state.demand * seconds(m_settings.prefetch));
    const uint64_t inAdvance = wanted >= 2 && held * 2 < wanted && now >= state.deniedUntil ? wanted - held : 0;
    const uint64_t count = std::max<uint64_t>(state.waiting.size(), inAdvance);
    if (count == 0)
        return false;
    for (const std::string& ip : m_members.granters(organisation)) {
        const auto excluded = state.backoff.find(ip);
        if (excluded != state.backoff.end() && excluded->second > now)
            continue;
        QuotaMessage request;
        request.nonce = m_random.next();
        request.organisation = organisation;
        request.milliTokens = static_cast<uint32_t>(std::min<double>(count, maxTokensPerRequest)) * milliTokensPerToken;
        state.asks[request.nonce] = { ip, now, now + m_settings.replyTimeout, true };
        m_active.insert(organisation);
        ++m_counters.requestsSent;
        send(ip, request);
        return true;
    }
    return false;
}

void QuotaClient::decide(uint64_t id, const QuotaDecision& decision) { onDecided(id, decision); }

void QuotaClient::serve(State& state)
{
    while (!state.waiting.empty()) {
        const auto decision = takeToken(state);
        if (!decision)
            return;
        const uint64_t id = state.waiting.front().id;
        state.waiting.pop_front();
        decide(id, *decision);
    }
}

void QuotaClient::rejectAll(State& state)
{
    while (!state.waiting.empty()) {
        const uint64_t id = state.waiting.front().id;
        state.waiting.pop_front();
        decide(id, reject(state, state.deniedUntil));
    }
}

void QuotaClient::onReply(const std::string& ip, const QuotaMessage& message)
{
    const SteadyTime now = m_clock.now();
    for (const uint64_t organisation : m_active) {
        State& current = m_states.at(organisation);
        const auto found = current.asks.find(message.nonce);
        if (found == current.asks.end())
            continue;
        if (found->second.ip != ip)
            return;
        if (message.status == QuotaMessage::Status::Pending) {
            found->second.timeoutAt = found->second.sentAt + m_settings.maxWait;
            return;
        }
        const Ask answered = found->second;
        current.asks.erase(found);
        if (message.status == QuotaMessage::Status::Unavailable) {
            current.backoff[ip] = now + m_settings.unavailableBackoff;
        } else {
            current.backoff.erase(ip);
            const uint64_t count = message.milliTokens / milliTokensPerToken;
            const SteadyTime expiresAt = answered.sentAt + m_settings.tokenLifetime;
            if (count > 0 && expiresAt > now) {
                current.tokens.push_back({ count, expiresAt });
                current.granted += static_cast<double>(count);
            }
            if (message.wait.count() > 0 && answered.isCurrent)
                current.deniedUntil = now + std::min(message.wait, m_settings.maxDenial);
        }
        serve(current);
        if (now < current.deniedUntil)
            rejectAll(current);
        if (current.waiting.empty())
            return;
        if (!ask(organisation, current)) {
            std::deque<Waiting> waiting;
            waiting.swap(current.waiting);
            for (const Waiting& request : waiting)
                decide(request.id, decideAlone(current));
        }
        return;
    }
}

void QuotaClient::advance()
{
    const SteadyTime now = m_clock.now();
    const std::set<uint64_t> active = m_active;
    for (const uint64_t organisation : active) {
        State& current = m_states.at(organisation);
        for (auto& [nonce, pending] : current.asks) {
            if (!pending.isCurrent || pending.timeoutAt > now)
                continue;
            pending.isCurrent = false;
            ++m_counters.timeouts;
            current.backoff[pending.ip] = now + m_settings.silentBackoff;
        }
        std::erase_if(current.asks, [&](const auto& entry) {
            return !entry.second.isCurrent && entry.second.sentAt + m_settings.tokenLifetime <= now;
        });
        const bool isAnswerAwaited = !current.waiting.empty() && ask(organisation, current);
        while (!current.waiting.empty() && (!isAnswerAwaited || current.waiting.front().until <= now)) {
            const uint64_t id = current.waiting.front().id;
            current.waiting.pop_front();
            decide(id, decideAlone(current));
        }
        if (current.waiting.empty() && current.asks.empty())
            m_active.erase(organisation);
    }
}

std::optional<SteadyTime> QuotaClient::nextAdvance() const
{
    std::optional<SteadyTime> next;
    const auto consider = [&](SteadyTime time) { next = next ? std::min(*next, time) : time; };
    for (const uint64_t organisation : m_active) {
        const State& current = m_states.at(organisation);
        if (!current.waiting.empty())
            consider(current.waiting.front().until);
        for (const auto& [nonce, pending] : current.asks)
            consider(pending.isCurrent ? pending.timeoutAt : pending.sentAt + m_settings.tokenLifetime);
    }
    return next;
}

void QuotaClient::prune()
{
    const SteadyTime now = m_clock.now();
    if (now - m_prunedAt < m_settings.idleTime)
        return;
    m_prunedAt = now;
    std::erase_if(m_states, [&](const auto& entry) {
        return now - entry.second.demandAt > m_settings.idleTime && !m_active.contains(entry.first);
    });
}

}

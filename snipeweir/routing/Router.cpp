#include "snipeweir/routing/Router.h"

#include "snipeweir/routing/Subset.h"

#include <algorithm>
#include <cassert>

namespace snipeweir {

namespace {

    /// Maximum number of candidates compared per call. More lowered p99 under a noisy neighbour further, but the more
    /// are compared, the more callers with the same view pick the same endpoint.
    constexpr size_t maxDraws = 3;
    /// Bounds the time of one decision when most candidates have little weight.
    constexpr size_t maxSamplesPerDraw = 12;
    /// Relative cost difference below which candidates count as equal and the first drawn is taken. Without it, a
    /// difference far below the accuracy of the estimates sends every call to one endpoint.
    constexpr double tieTolerance = 0.1;
    /// Time without calls after which a service is idle and no longer probed.
    constexpr std::chrono::seconds idleThreshold { 1 };
    /// Maximum number of unused probes that may be sent at once, in seconds of the budget.
    constexpr double probeBurstSeconds = 1;

    bool contains(const std::vector<size_t>& indices, size_t index)
    {
        return std::find(indices.begin(), indices.end(), index) != indices.end();
    }

    bool isExcluded(const ChooseRequest& request, const Endpoint& endpoint)
    {
        return std::find(request.excluded.begin(), request.excluded.end(), endpoint.candidate.vm)
            != request.excluded.end();
    }

    /// @return Number of candidates to compare: two, or up to three where that is at most half of all, so that with
    /// four or more endpoints at most half of the callers with the same view pick the same one.
    size_t drawCount(size_t candidates)
    {
        return std::min(candidates, std::clamp<size_t>(candidates / 2, 2, maxDraws));
    }

    /// @return Probability that an endpoint in slow start is drawn, relative to one with its full weight. An idle
    /// endpoint wins nearly every comparison, so its share of the calls is drawCount times this probability while it
    /// has little load.
    double drawProbability(double rampFactor, size_t drawCount)
    {
        const auto draws = static_cast<double>(drawCount);
        return rampFactor / (draws - (draws - 1) * rampFactor);
    }

}

Result<std::unique_ptr<Router>> Router::create(
    RouterSettings settings, const StateChart& endpointChart, const Clock& clock, uint64_t seed)
{
    BOOST_LEAF_AUTO(stateMachine, EndpointStateMachine::create(endpointChart));
    return std::unique_ptr<Router>(new Router(std::move(settings), stateMachine, clock, seed));
}

Router::Router(RouterSettings settings, EndpointStateMachine stateMachine, const Clock& clock, uint64_t seed)
    : m_clock(clock)
    , m_random(seed)
    , m_table(std::move(settings), stateMachine)
    , m_probeTokensAt(clock.now())
{
}

void Router::setSettings(const RouterSettings& settings)
{
    m_table.setSettings(settings);
    applyView(m_clock.now());
}

void Router::updateEndpoints(const std::vector<EndpointCandidate>& view)
{
    m_view = view;
    applyView(m_clock.now());
}

void Router::applyView(SteadyTime now)
{
    const RouterSettings& settings = m_table.settings();
    if (settings.callerIndex)
        m_table.update(Subset::choose(*settings.callerIndex, settings.subsetSize, m_view), now);
    else
        m_table.update(m_view, now);
}

std::optional<EndpointChoice> Router::choose(const ChooseRequest& request)
{
    const SteadyTime now = m_clock.now();
    m_lastChoiceAt = now;
    m_table.refresh(now);
    m_drawn.clear();
    draw(m_table.candidates(), request, now);
    if (m_drawn.empty())
        drawUnweighted(m_table.candidates(), request);
    if (m_drawn.empty())
        drawUnweighted(m_table.fallbackCandidates(), request);
    if (m_drawn.empty())
        return std::nullopt;

    // Compare the drawn candidates; the first drawn wins a tie.
    EndpointChoice choice;
    choice.considered.reserve(m_drawn.size());
    size_t best = m_drawn.front();
    double bestCost = 0;
    for (const size_t index : m_drawn) {
        const Endpoint& endpoint = m_table.endpoints()[index];
        const double cost = endpoint.cost(now, m_table.settings(), m_table.averages());
        choice.considered.push_back(endpoint.record(now, m_table.settings(), cost));
        if (index == m_drawn.front() || cost < bestCost * (1 - tieTolerance)) {
            best = index;
            bestCost = cost;
        }
    }
    const Endpoint& chosen = m_table.endpoints()[best];
    choice.vm = chosen.candidate.vm;
    if (const auto& report = chosen.report()) {
        choice.incarnation = report->incarnation;
        choice.uptime = report->uptime + std::chrono::duration_cast<std::chrono::milliseconds>(*chosen.reportAge(now));
    }
    return choice;
}

void Router::draw(const std::vector<size_t>& pool, const ChooseRequest& request, SteadyTime now)
{
    m_skipped.clear();
    const size_t wanted = drawCount(pool.size());
    const RouterSettings& settings = m_table.settings();
    for (size_t samples = 0; samples < wanted * maxSamplesPerDraw && m_drawn.size() < wanted; ++samples) {
        const size_t index = pool[m_random.below(pool.size())];
        const Endpoint& endpoint = m_table.endpoints()[index];
        if (contains(m_drawn, index) || contains(m_skipped, index))
            continue;
        if (m_random.nextDouble() * m_table.maxSlots() >= endpoint.slots(m_table.averages()))
            continue;
        // An endpoint rejected by slow start is skipped for the whole decision; drawing it again would defeat the ramp.
        const double rampFactor = endpoint.rampFactor(now, settings.rampDuration);
        if (isExcluded(request, endpoint)
            || (rampFactor < 1 && m_random.nextDouble() >= drawProbability(rampFactor, wanted)))
            m_skipped.push_back(index);
        else
            m_drawn.push_back(index);
    }
}

void Router::drawUnweighted(const std::vector<size_t>& pool, const ChooseRequest& request)
{
    if (pool.empty())
        return;
    const size_t start = m_random.below(pool.size());
    for (size_t i = 0; i < pool.size() && m_drawn.size() < maxDraws; ++i) {
        const size_t index = pool[(start + i) % pool.size()];
        if (!isExcluded(request, m_table.endpoints()[index]))
            m_drawn.push_back(index);
    }
}

void Router::onSent(const VmId& vm) { m_table.onSent(vm, m_clock.now()); }

void Router::onFinished(const VmId& vm, const CallResult& result) { m_table.onFinished(vm, result, m_clock.now()); }

void Router::onLoadReport(const VmId& vm, const LoadReport& report) { m_table.onLoadReport(vm, report, m_clock.now()); }

std::vector<VmId> Router::probesDue()
{
    const SteadyTime now = m_clock.now();
    const RouterSettings& settings = m_table.settings();
    const double perSecond = settings.probeBudgetPerSecond;
    const std::chrono::duration<double> elapsed = now - m_probeTokensAt;
    m_probeTokensAt = now;
    m_probeTokens = std::min(perSecond * probeBurstSeconds, m_probeTokens + elapsed.count() * perSecond);
    if (m_probeTokens < 1)
        return {};

    // Collect the endpoints whose reports are too old and that have not just been probed.
    m_table.refresh(now);
    const bool isIdle = now - m_lastChoiceAt > idleThreshold;
    struct Due {
        std::chrono::nanoseconds age;
        size_t index;
    };
    std::vector<Due> due;
    for (size_t i = 0; i < m_table.endpoints().size(); ++i) {
        const Endpoint& endpoint = m_table.endpoints()[i];
        const bool isOutOfRotation = !endpoint.candidate.isInService || endpoint.candidate.isLeaving;
        if (isOutOfRotation || endpoint.phase == EndpointPhase::Draining || endpoint.phase == EndpointPhase::Gone)
            continue;
        const auto age = endpoint.reportAge(now);
        const bool needsReport = !age || (!isIdle && *age > settings.loadReportMaxAge);
        if (needsReport && now - endpoint.probedAt > settings.loadReportMaxAge)
            due.push_back({ age.value_or(std::chrono::nanoseconds::max()), i });
    }
    const auto count = std::min(due.size(), static_cast<size_t>(m_probeTokens));
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
        [](const Due& left, const Due& right) {
            return left.age != right.age ? left.age > right.age : left.index < right.index;
        });

    std::vector<VmId> probes;
    for (size_t i = 0; i < count; ++i) {
        Endpoint& endpoint = m_table.endpoints()[due[i].index];
        endpoint.probedAt = now;
        m_probeTokens -= 1;
        probes.push_back(endpoint.candidate.vm);
    }
    return probes;
}

std::vector<EndpointSnapshot> Router::snapshot() const
{
    const SteadyTime now = m_clock.now();
    const auto& candidates = m_table.candidates();
    std::vector<EndpointSnapshot> snapshots;
    snapshots.reserve(m_table.endpoints().size());
    for (size_t i = 0; i < m_table.endpoints().size(); ++i) {
        const Endpoint& endpoint = m_table.endpoints()[i];
        const double cost = endpoint.cost(now, m_table.settings(), m_table.averages());
        const CandidateRecord record = endpoint.record(now, m_table.settings(), cost);
        EndpointSnapshot snapshot;
        snapshot.vm = endpoint.candidate.vm;
        snapshot.dataCentre = endpoint.candidate.dataCentre;
        snapshot.phase = endpoint.phase;
        snapshot.isCandidate = contains(candidates, i);
        snapshot.report = endpoint.report();
        snapshot.reportAge = record.reportAge;
        snapshot.estimatedCost = record.estimatedCost;
        snapshot.ownInFlight = record.ownInFlight;
        snapshot.rampPercent = record.rampPercent;
        if (endpoint.phase == EndpointPhase::Ejected && endpoint.ejectedUntil > now)
            snapshot.ejectedFor = std::chrono::ceil<std::chrono::milliseconds>(endpoint.ejectedUntil - now);
        snapshots.push_back(std::move(snapshot));
    }
    return snapshots;
}

}

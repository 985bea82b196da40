#include "snipeweir/admission/ServerGate.h"

#include <algorithm>
#include <cmath>

namespace snipeweir {

namespace {

    // Weight of one request in the moving averages, which cover about the last ten requests.
    constexpr double sampleWeight = 0.1;
    constexpr std::chrono::seconds assumedColdTime { 3 };
    /// Delay and interval of starts at a server whose rate limit is zero or close to it.
    constexpr std::chrono::microseconds maxStartDelay = std::chrono::hours(1);

    /// @return Time until this number of requests can have started at a rate in requests per second, rounded up.
    std::chrono::microseconds startDelay(double requests, double perSecond)
    {
        constexpr std::chrono::microseconds resolution { 1 };
        const std::chrono::duration<double> delay(std::max(0.0, requests) / perSecond);
        if (!(delay < maxStartDelay))
            return maxStartDelay;
        return std::chrono::duration_cast<std::chrono::microseconds>(delay) + resolution;
    }

}

void ServerGate::setClosed(Reason reason) { m_closedReason = reason; }

void ServerGate::setSlownessPercent(uint32_t percent)
{
    if (percent >= m_settings.transientSlowdownPercent && m_slownessPercent < m_settings.transientSlowdownPercent)
        m_slowdownStartedAt = m_clock.now();
    m_slownessPercent = std::max(1U, percent);
}

bool ServerGate::hasTransientSlowdown() const
{
    return m_slownessPercent >= m_settings.transientSlowdownPercent
        && m_clock.now() - m_slowdownStartedAt < m_settings.maxTransientSlowdown;
}

bool ServerGate::shouldDefer(const Request& request) const
{
    const auto nominal = nominalServiceTime(request);
    const auto addedServiceTime = nominal * (m_slownessPercent - 100) / 100;
    return hasTransientSlowdown() && addedServiceTime > NodeLoad::typicalSlowdownDuration;
}

void ServerGate::setCold(std::chrono::milliseconds remaining)
{
    const SteadyTime now = m_clock.now();
    if (remaining.count() > 0 && !isCold())
        m_coldBucket = TokenBucket(coldRate(), m_settings.coldBurst, m_settings.coldBurst, now);
    m_coldUntil = now + remaining;
}

void ServerGate::assumeCold() { setCold(assumedColdTime); }

bool ServerGate::isCold() const { return m_clock.now() < m_coldUntil; }

double ServerGate::coldRate() const
{
    // At most coldBurst plus one second's refill start in any one second. Their sum stays below the limit by
    // coldMargin.
    const double rate = m_maxColdRate - m_settings.coldBurst - m_settings.coldMargin;
    return m_maxColdRate > 0 ? std::max(1.0, rate) : m_settings.defaultColdRate;
}

void ServerGate::setMaxColdRate(double perSecond)
{
    m_maxColdRate = perSecond;
    m_coldBucket.setRate(coldRate(), m_clock.now());
}

void ServerGate::setRateLimit(std::optional<double> perSecond)
{
    if (!perSecond) {
        m_rateLimit.reset();
        return;
    }
    const SteadyTime now = m_clock.now();
    const double capacity = 1 + *perSecond * m_settings.rateLimitBurstSeconds;
    if (!m_rateLimit)
        m_rateLimit.emplace(*perSecond, capacity, 0, now);
    m_rateLimit->setRate(*perSecond, now);
    m_rateLimit->setCapacity(capacity, now);
}

void ServerGate::chargeStart()
{
    if (isCold())
        m_coldBucket.charge(1, m_clock.now());
    if (m_rateLimit)
        m_rateLimit->charge(1, m_clock.now());
}

double ServerGate::availableStartTokens() const
{
    double tokens = NodeLoad::unlimitedStartTokens;
    if (isCold())
        tokens = std::min(tokens, m_coldBucket.available(m_clock.now()));
    if (m_rateLimit)
        tokens = std::min(tokens, m_rateLimit->available(m_clock.now()));
    return tokens;
}

std::chrono::microseconds ServerGate::rateLimitDelay(double requests) const
{
    if (!m_rateLimit)
        return std::chrono::microseconds(0);
    return startDelay(requests - m_rateLimit->available(m_clock.now()), m_rateLimit->rate());
}

uint32_t ServerGate::limit() const { return std::max(1U, m_slots * m_settings.usableSlotPercent / 100); }

bool ServerGate::tryAcquireSlot(const Request& request)
{
    if (m_running + m_reserve.reservedSlots(request.priority, limit()) >= limit())
        return false;
    if (availableStartTokens() < 1)
        return false;
    chargeStart();
    ++m_running;
    m_reserve.onStarted(request.priority);
    m_runningPriorities[request.id] = request.priority;
    return true;
}

bool ServerGate::precedes(const Request& request, const Request& waiting) const
{
    if (request.priority != waiting.priority)
        return request.priority < waiting.priority;
    const SteadyTime now = m_clock.now();
    return request.targetAt > now && waiting.targetAt <= now;
}

void ServerGate::addRunning(const Request& request)
{
    if (request.organisation != 0)
        m_runningOrganisations[request.id] = request.organisation;
}

std::unordered_map<uint64_t, size_t> ServerGate::countByOrganisation() const
{
    std::unordered_map<uint64_t, size_t> counts;
    for (const auto& [id, organisation] : m_runningOrganisations)
        ++counts[organisation];
    for (const Waiting& waiting : m_waiting) {
        if (waiting.request.organisation != 0)
            ++counts[waiting.request.organisation];
    }
    return counts;
}

void ServerGate::orderByOrganisation()
{
    const bool hasOrganisations = std::any_of(
        m_waiting.begin(), m_waiting.end(), [](const Waiting& waiting) { return waiting.request.organisation != 0; });
    if (!hasOrganisations)
        return;
    const auto counts = countByOrganisation();
    for (size_t first = 0; first < m_waiting.size();) {
        // The requests from first to last have one priority, and either all of them or none are already late.
        std::vector<size_t> places;
        size_t last = first;
        while (last < m_waiting.size() && !precedes(m_waiting[first].request, m_waiting[last].request)
            && !precedes(m_waiting[last].request, m_waiting[first].request)) {
            if (m_waiting[last].request.organisation != 0)
                places.push_back(last);
            ++last;
        }
        std::vector<Waiting> ordered;
        ordered.reserve(places.size());
        for (const size_t place : places)
            ordered.push_back(m_waiting[place]);
        std::stable_sort(ordered.begin(), ordered.end(), [&](const Waiting& a, const Waiting& b) {
            return counts.at(a.request.organisation) < counts.at(b.request.organisation);
        });
        for (size_t i = 0; i < places.size(); ++i)
            m_waiting[places[i]] = ordered[i];
        first = last;
    }
}

size_t ServerGate::requestsAhead(const Request& request, size_t position) const
{
    if (request.organisation == 0)
        return position;
    auto counts = countByOrganisation();
    const size_t own = ++counts[request.organisation];
    const auto overtaken = std::count_if(
        m_waiting.begin(), m_waiting.begin() + static_cast<ptrdiff_t>(position), [&](const Waiting& waiting) {
            const uint64_t organisation = waiting.request.organisation;
            return organisation != 0 && !precedes(waiting.request, request) && counts.at(organisation) > own;
        });
    return position - static_cast<size_t>(overtaken);
}

std::chrono::microseconds ServerGate::nominalServiceTime(const Request& request) const
{
    return request.usualServiceTime.count() > 0
        ? request.usualServiceTime
        : std::chrono::microseconds(static_cast<int64_t>(m_meanNominalServiceUs));
}

std::chrono::microseconds ServerGate::expectedServiceTime(const Request& request) const
{
    return shouldDefer(request) ? nominalServiceTime(request) : nominalServiceTime(request) * m_slownessPercent / 100;
}

SteadyTime ServerGate::latestStart(const Request& request) const
{
    const SteadyTime now = m_clock.now();
    const auto serviceTime = expectedServiceTime(request);
    const auto slack = std::chrono::duration_cast<std::chrono::microseconds>(request.targetAt - now) - serviceTime;
    if (slack.count() <= 0)
        return std::min(now + m_settings.maxLateWait, request.deadline - serviceTime);
    const auto share = (request.targetAt - now) * m_settings.maxWaitPercent / 100;
    const auto longest = std::max<std::chrono::nanoseconds>(share, m_settings.maxWaitFloor);
    return now + std::min<std::chrono::nanoseconds>(slack, longest);
}

ServerGate::Decision ServerGate::offer(const Request& request)
{
    const SteadyTime now = m_clock.now();
    if (m_closedReason != Reason::None)
        return { request.id, Verdict::Refused, m_closedReason };
    if (request.deadline <= now)
        return { request.id, Verdict::Refused, Reason::DeadlinePassed };
    m_reserve.onOffered(request.priority, request.targetAt - now, expectedServiceTime(request));
    const bool isBehindOthers = std::any_of(m_waiting.begin(), m_waiting.end(),
        [&](const Waiting& waiting) { return !precedes(request, waiting.request) && !shouldDefer(waiting.request); });
    const bool isDeferred = shouldDefer(request);
    if (!isBehindOthers && !isDeferred && tryAcquireSlot(request)) {
        addRunning(request);
        return { request.id, Verdict::Admitted, Reason::None };
    }

    // Estimate the wait behind the queued requests of the same or a higher priority.
    const auto position = std::find_if(
        m_waiting.begin(), m_waiting.end(), [&](const Waiting& waiting) { return precedes(request, waiting.request); });
    const double queuePosition
        = static_cast<double>(requestsAhead(request, static_cast<size_t>(position - m_waiting.begin()))) + 1;
    const uint32_t expectedPercent = hasTransientSlowdown() ? 100 : m_slownessPercent;
    const uint32_t usableSlots = limit() - std::min(limit() - 1, m_reserve.reservedSlots(request.priority, limit()));
    double wait = queuePosition * m_meanNominalServiceUs * expectedPercent / 100 / usableSlots;
    if (isDeferred) {
        // On average, half of the duration of a slowdown is left.
        wait = std::max(wait, std::chrono::duration<double, std::micro>(NodeLoad::typicalSlowdownDuration).count() / 2);
    }
    if (isCold())
        wait = std::max(wait, queuePosition / coldRate() * 1e6);
    const auto limitDelay = rateLimitDelay(queuePosition);
    const SteadyTime refuseAt = latestStart(request);
    if (now + limitDelay > refuseAt)
        return { request.id, Verdict::Refused, Reason::RateLimit };
    if (now + std::chrono::microseconds(static_cast<int64_t>(wait)) > refuseAt)
        return { request.id, Verdict::Refused, isCold() ? Reason::ColdLimit : Reason::QueueFull };
    m_waiting.insert(position, Waiting { request, refuseAt });
    return { request.id, Verdict::Waiting, Reason::None };
}

void ServerGate::onFinished(uint64_t id, RunResult result, std::chrono::microseconds serviceTime)
{
    if (const auto priority = m_runningPriorities.extract(id))
        m_reserve.onFinished(priority.mapped());
    m_runningOrganisations.erase(id);
    m_running -= m_running > 0 ? 1 : 0;
    if (result == RunResult::Cancelled)
        return;
    if (result == RunResult::Succeeded) {
        const double nominalUs = static_cast<double>(serviceTime.count()) * 100 / m_slownessPercent;
        m_meanNominalServiceUs += sampleWeight * (nominalUs - m_meanNominalServiceUs);
    }
    const double failure = result == RunResult::Succeeded ? 0 : 1;
    m_failureRate = failureRate() * (1 - sampleWeight) + sampleWeight * failure;
    m_failureRateUpdatedAt = m_clock.now();
}

void ServerGate::cancelWaiting(uint64_t id)
{
    std::erase_if(m_waiting, [&](const Waiting& waiting) { return waiting.request.id == id; });
}

double ServerGate::failureRate() const
{
    const double age = std::chrono::duration<double>(m_clock.now() - m_failureRateUpdatedAt).count();
    return m_failureRate * std::exp2(-age / std::chrono::duration<double>(m_settings.failureHalfLife).count());
}

std::vector<ServerGate::Decision> ServerGate::advance()
{
    const SteadyTime now = m_clock.now();
    orderByOrganisation();
    std::vector<Decision> decisions;
    std::deque<Waiting> kept;
    bool isFull = false;
    for (const Waiting& waiting : m_waiting) {
        if (m_closedReason != Reason::None)
            decisions.push_back({ waiting.request.id, Verdict::Refused, m_closedReason });
        else if (waiting.refuseAt <= now)
            decisions.push_back({ waiting.request.id, Verdict::Refused, Reason::QueueTimeout });
        else if (!shouldDefer(waiting.request) && !isFull && tryAcquireSlot(waiting.request)) {
            addRunning(waiting.request);
            decisions.push_back({ waiting.request.id, Verdict::Admitted, Reason::None });
        } else {
            isFull = isFull || !shouldDefer(waiting.request);
            kept.push_back(waiting);
        }
    }
    m_waiting = std::move(kept);
    return decisions;
}

std::optional<SteadyTime> ServerGate::nextAdvance() const
{
    if (m_waiting.empty())
        return std::nullopt;
    SteadyTime next = m_waiting.front().refuseAt;
    for (const Waiting& waiting : m_waiting)
        next = std::min(next, waiting.refuseAt);
    // No report marks the moment from which a slowdown is no longer treated as transient.
    if (hasTransientSlowdown())
        next = std::min(next, m_slowdownStartedAt + m_settings.maxTransientSlowdown);
    if (m_rateLimit && m_rateLimit->available(m_clock.now()) < 1)
        next = std::min(next, m_clock.now() + rateLimitDelay(1));
    // On a cold server, waiting requests start when tokens are refilled, not when other requests end.
    constexpr std::chrono::milliseconds coldPollInterval { 20 };
    return isCold() ? std::min(next, m_clock.now() + coldPollInterval) : next;
}

NodeLoad ServerGate::load() const
{
    NodeLoad load;
    load.isAccepting = m_closedReason == Reason::None;
    load.running = m_running;
    load.waiting = static_cast<uint32_t>(m_waiting.size());
    load.limit = limit();
    load.slownessPercent = m_slownessPercent;
    load.isSlowdownTransient = hasTransientSlowdown();
    load.meanServiceTime
        = std::chrono::microseconds(static_cast<int64_t>(m_meanNominalServiceUs * m_slownessPercent / 100));
    load.failurePercent = static_cast<uint32_t>(std::lround(failureRate() * 100));
    load.startTokens = static_cast<uint32_t>(std::max(0.0, availableStartTokens()));
    if (isCold())
        load.startInterval = startDelay(1, coldRate());
    if (m_rateLimit)
        load.startInterval = std::max(load.startInterval, startDelay(1, m_rateLimit->rate()));
    return load;
}

}

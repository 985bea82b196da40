#include "snipeweir/admission/PriorityReserve.h"

#include <algorithm>
#include <cmath>

namespace snipeweir {

namespace {

    /// Part of a new sample in the moving average of the target, which covers about the last ten requests.
    constexpr int targetSamples = 10;

}

double PriorityReserve::currentLoad(const PriorityClass& requests) const
{
    const std::chrono::duration<double> age = m_clock.now() - requests.updatedAt;
    return requests.load * std::exp(-age / std::chrono::duration<double>(m_settings.window));
}

void PriorityReserve::onOffered(
    uint32_t priority, std::chrono::nanoseconds timeToTarget, std::chrono::nanoseconds serviceTime)
{
    PriorityClass& requests = m_classes[priority];
    requests.load = currentLoad(requests)
        + std::chrono::duration<double>(serviceTime) / std::chrono::duration<double>(m_settings.window);
    requests.updatedAt = m_clock.now();
    if (timeToTarget.count() <= 0)
        return;
    if (requests.target.count() == 0)
        requests.target = timeToTarget;
    requests.target += (timeToTarget - requests.target) / targetSamples;
}

void PriorityReserve::onFinished(uint32_t priority)
{
    PriorityClass& requests = m_classes[priority];
    requests.running -= requests.running > 0 ? 1 : 0;
}

uint32_t PriorityReserve::reservedSlots(uint32_t priority, uint32_t limit) const
{
    const auto own = m_classes.find(priority);
    if (own == m_classes.end())
        return 0;
    double load = 0;
    uint32_t running = 0;
    for (auto urgent = m_classes.begin(); urgent != own; ++urgent) {
        if (own->second.target * 100 < urgent->second.target * m_settings.minTargetPercent)
            continue;
        load += currentLoad(urgent->second);
        running += urgent->second.running;
    }
    if (load < m_settings.minLoad)
        return 0;
    // Arrivals are random: the number of slots in use exceeds its mean by more than one standard deviation, the square
    // root of the mean, in about a sixth of the time.
    const auto wanted = static_cast<uint32_t>(std::ceil(load + std::sqrt(load)));
    const uint32_t reserved = std::min(wanted, limit * m_settings.maxReservedPercent / 100);
    return reserved - std::min(reserved, running);
}

}

#include "snipeweir/admission/RunningRequests.h"

#include <algorithm>

namespace snipeweir {

std::optional<SteadyTime> RunningRequests::targetOfCall(SteadyTime deadline, SteadyTime now) const
{
    std::optional<SteadyTime> target;
    for (const auto& [id, request] : m_running) {
        const auto difference = deadline - request.deadline;
        if (difference < m_settings.earliest || difference > m_settings.latest)
            continue;
        const SteadyTime leastTarget = now + (deadline - now) * m_settings.lateSharePercent / 100;
        target = std::max({ target.value_or(leastTarget), leastTarget, request.targetAt });
    }
    return target;
}

}

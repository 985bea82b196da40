#pragma once

#include "snipeweir/core/Clock.h"

#include <algorithm>

namespace snipeweir {

/// Decides how long the rest of a response is awaited once its head has arrived. At the deadline a response that stands
/// still ends, so that its caller can go on; one that still moves may end within a short time more, since the caller
/// would have to fetch all of it again. See docs/design/response-time-limit.md. For one thread.
class ResponseTimeLimit {
public:
    struct Settings {
        /// Time without progress after which a response stands still.
        std::chrono::milliseconds stallTime { 100 };
        /// Time after the deadline for a response that moves. Callers need a final answer 500 ms after the deadline.
        std::chrono::milliseconds maxOverrun { 400 };
    };

    /// @param deadline Time until which the caller waits for the response.
    /// @param now Time of the last progress so far.
    ResponseTimeLimit(Settings settings, SteadyTime deadline, SteadyTime now)
        : m_settings(settings)
        , m_deadline(deadline)
        , m_progressAt(now)
    {
    }

    /// Records that bytes of the response have arrived or were taken by the peer.
    void onProgress(SteadyTime now) { m_progressAt = now; }

    /// @return Time at which the response ends unless it makes progress before.
    SteadyTime end() const { return std::min(latestEnd(), std::max(m_deadline, m_progressAt + m_settings.stallTime)); }

    /// @return Time at which the response ends in any case.
    SteadyTime latestEnd() const { return m_deadline + m_settings.maxOverrun; }

private:
    Settings m_settings;
    SteadyTime m_deadline;
    SteadyTime m_progressAt;
};

}

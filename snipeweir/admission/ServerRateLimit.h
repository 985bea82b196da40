#pragma once

#include "snipeweir/core/Clock.h"

#include <optional>

namespace snipeweir {

/// Rate limit that a backend server names in its responses, for all nodes together. It holds until a response without
/// it. A response to a request that was sent before the last response with the limit does not end it, since responses
/// on several connections overtake each other. For one thread.
class ServerRateLimit {
public:
    /// @param requestsPerSecond Limit in the response; empty if it names none.
    /// @param sentAt Time at which the request of the response was sent.
    /// @param now Time of the response.
    /// @return Whether the limit changed.
    bool onResponse(std::optional<double> requestsPerSecond, SteadyTime sentAt, SteadyTime now)
    {
        if (requestsPerSecond)
            m_namedAt = now;
        else if (sentAt <= m_namedAt)
            return false;
        const bool isChanged = m_requestsPerSecond != requestsPerSecond;
        m_requestsPerSecond = requestsPerSecond;
        return isChanged;
    }

    /// @return Requests per second; empty if there is no limit.
    std::optional<double> requestsPerSecond() const { return m_requestsPerSecond; }

private:
    std::optional<double> m_requestsPerSecond;
    SteadyTime m_namedAt {};
};

}

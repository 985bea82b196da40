#pragma once

#include "snipeweir/core/Clock.h"

#include <algorithm>
#include <optional>

namespace snipeweir {

/// Decides which requests a node still accepts between the signal to stop and the end of the grace period. Load:
/// callers that have not yet noticed that the node is leaving, and whose requests may run as long as their deadlines
/// allow; in a rolling stop of a busy fleet also the requests of other nodes, since the backend server goes on and the
/// process has to wait for the callers anyway. A request that is cut off at the end may have run, so the caller must
/// not repeat it; a refused one can be sent to another node at once. All functions are deterministic and perform no
/// I/O.
class StopSchedule {
public:
    struct Settings {
        /// Time in which the platform sees twice that the node is not ready; it checks once per second.
        std::chrono::milliseconds readinessNoticeTime { 2600 };
        /// Time in which requests are accepted; longer than it takes until callers are told to go elsewhere.
        std::chrono::milliseconds acceptTime { 3000 };
        /// Time in which requests still run at the backend server beside the node; ordinary runs end before the node
        /// may exit.
        std::chrono::milliseconds serverTime { 2000 };
        /// Part of the grace period in which requests are accepted, in percent, if it is short.
        uint32_t maxAcceptPercent = 50;
        /// Part of the grace period reserved for closing connections and ending the process, half of it for each.
        std::chrono::milliseconds exitReserve { 700 };
        /// Time before the end of the last request in which its response is sent on.
        std::chrono::milliseconds responseReserve { 150 };
    };

    /// @param stoppedAt Time of the signal to stop.
    /// @param grace Time from the signal until the platform kills the process.
    StopSchedule(Settings settings, SteadyTime stoppedAt, std::chrono::milliseconds grace)
        : m_settings(settings)
        , m_stoppedAt(stoppedAt)
        , m_acceptUntil(stoppedAt + std::min(settings.acceptTime, grace * settings.maxAcceptPercent / 100))
        , m_serverUntil(stoppedAt + std::min(settings.serverTime, grace / 3))
        , m_end(stoppedAt + std::max(grace - settings.exitReserve, grace / 2))
        , m_closingEnd(m_end + (stoppedAt + grace - m_end) / 2)
    {
    }

    /// @return Time at which requests still in flight are cut off.
    SteadyTime end() const { return m_end; }

    /// @return Time until which the process may wait for connections that are being closed.
    SteadyTime closingEnd() const { return m_closingEnd; }

    /// @return Time from which no request starts at the backend server beside the node.
    SteadyTime serverUntil() const { return m_serverUntil; }

    /// @return The deadline of a request that starts at the backend server, early enough that it ends before end().
    SteadyTime limitDeadline(SteadyTime deadline) const
    {
        return std::min(deadline, m_end - m_settings.responseReserve);
    }

    /// @param deadline Deadline of the request.
    /// @param targetLatency Latency up to which its response is on time.
    /// @return The deadline with which the request is accepted, early enough that the backend server ends it before
    /// end(); empty if the request must be refused.
    std::optional<SteadyTime> accept(SteadyTime now, SteadyTime deadline, std::chrono::milliseconds targetLatency) const
    {
        if (now >= m_acceptUntil)
            return std::nullopt;
        const SteadyTime limited = limitDeadline(deadline);
        if (limited < deadline && now + targetLatency > limited)
            return std::nullopt;
        return limited;
    }

    /// @param isIdle Whether no request is in flight.
    bool mayExit(SteadyTime now, bool isIdle) const
    {
        const auto notice = std::min<std::chrono::nanoseconds>(m_settings.readinessNoticeTime, m_end - m_stoppedAt);
        return now >= m_end || (isIdle && now >= m_stoppedAt + notice);
    }

private:
    Settings m_settings;
    SteadyTime m_stoppedAt;
    SteadyTime m_acceptUntil;
    SteadyTime m_serverUntil;
    SteadyTime m_end;
    SteadyTime m_closingEnd;
};

}

#pragma once

#include "snipeweir/core/Clock.h"

#include <algorithm>
#include <optional>

namespace snipeweir {

/// Decides what a request gets between the signal to stop and the end of the grace period: whether it is accepted,
/// until when it may run, until when its response is awaited, and until when a response on its way is delivered. Load:
/// callers that have not yet noticed that the node is leaving, and whose requests may run as long as their deadlines
/// allow; in a rolling stop of a busy fleet also the requests of other nodes, since the backend server goes on and the
/// process has to wait for the callers anyway. A request that is cut off at the end may have run, so the caller must
/// not repeat it; a refused one can be sent to another node at once. All functions are deterministic and perform no
/// I/O. The order of the phases is described in docs/design/planned-stop.md.
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
        /// Time before the end of the grace period at which idle connections are closed and no more are accepted.
        std::chrono::milliseconds closingReserve { 700 };
        /// Time before the end of the grace period at which a request whose response has not begun is answered without
        /// it, so that this answer and those behind it on the connection still arrive.
        std::chrono::milliseconds answerReserve { 250 };
        /// Time before the end of the grace period at which the process ends, in which it closes its sockets.
        std::chrono::milliseconds exitReserve { 60 };
        /// Time between the end of the last run and closingBegin().
        std::chrono::milliseconds responseReserve { 150 };
    };

    /// @param stoppedAt Time of the signal to stop.
    /// @param grace Time from the signal until the platform kills the process.
    StopSchedule(Settings settings, SteadyTime stoppedAt, std::chrono::milliseconds grace)
        : m_settings(settings)
        , m_stoppedAt(stoppedAt)
        , m_acceptUntil(stoppedAt + std::min(settings.acceptTime, grace * settings.maxAcceptPercent / 100))
        , m_serverUntil(stoppedAt + std::min(settings.serverTime, grace / 3))
        , m_closingBegin(stoppedAt + std::max(grace - settings.closingReserve, grace / 2))
        , m_answerEnd(stoppedAt + std::max(grace - settings.answerReserve, grace * 3 / 4))
        , m_exitAt(stoppedAt + std::max(grace - settings.exitReserve, grace * 9 / 10))
    {
    }

    /// @return Time at which idle connections are closed and no more are accepted; requests in flight go on.
    SteadyTime closingBegin() const { return m_closingBegin; }

    /// @return Time at which the requests whose responses have not begun are answered without them.
    SteadyTime answerEnd() const { return m_answerEnd; }

    /// @return Time at which the process ends; responses are delivered until then.
    SteadyTime exitAt() const { return m_exitAt; }

    /// @return Time from which no request starts at the backend server beside the node.
    SteadyTime serverUntil() const { return m_serverUntil; }

    /// @return The deadline of a run that starts now, early enough that its response can be delivered.
    SteadyTime limitDeadline(SteadyTime deadline) const
    {
        return std::min(deadline, m_closingBegin - m_settings.responseReserve);
    }

    /// For a request of another node, which can send it elsewhere if it is refused.
    /// @param deadline Deadline of the request.
    /// @param mayEndAt Time at which its run may well end; the deadline if that is not known or it may not run again.
    /// @return The deadline of its run, see limitDeadline(); empty if the run may be cut off by it.
    std::optional<SteadyTime> acceptFromPeer(SteadyTime deadline, SteadyTime mayEndAt) const
    {
        const SteadyTime limited = limitDeadline(deadline);
        if (limited < deadline && mayEndAt > limited)
            return std::nullopt;
        return limited;
    }

    /// For a request of a caller.
    /// @param deadline Deadline of the request.
    /// @param expectedTime Time that its run may well take.
    /// @return The deadline of its run, see limitDeadline(); empty if the request must be refused.
    std::optional<SteadyTime> accept(SteadyTime now, SteadyTime deadline, std::chrono::nanoseconds expectedTime) const
    {
        if (now >= m_acceptUntil)
            return std::nullopt;
        return acceptFromPeer(deadline, now + expectedTime);
    }

    /// @param isIdle Whether no request is in flight.
    /// @return Whether idle connections may be closed.
    bool mayClose(SteadyTime now, bool isIdle) const
    {
        const auto notice
            = std::min<std::chrono::nanoseconds>(m_settings.readinessNoticeTime, m_closingBegin - m_stoppedAt);
        return now >= m_closingBegin || (isIdle && now >= m_stoppedAt + notice);
    }

    /// @param isIdle Whether no request is in flight and no connection is being closed.
    bool mayExit(SteadyTime now, bool isIdle) const { return now >= m_exitAt || (isIdle && mayClose(now, isIdle)); }

private:
    Settings m_settings;
    SteadyTime m_stoppedAt;
    SteadyTime m_acceptUntil;
    SteadyTime m_serverUntil;
    SteadyTime m_closingBegin;
    SteadyTime m_answerEnd;
    SteadyTime m_exitAt;
};

}

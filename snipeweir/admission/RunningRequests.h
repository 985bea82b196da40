#pragma once

#include "snipeweir/core/Clock.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace snipeweir {

/// The requests that run at the backend server beside this node, by their deadlines. While a backend server runs a
/// request it makes calls of its own, which expire at that request's deadline and bear no other sign of it. A call
/// that is turned away costs the whole run, so it may wait as long as its request can: answers the load of full and
/// cold services that others call. Pure; for one thread.
class RunningRequests {
public:
    struct Settings {
        /// Bounds of the difference between the deadlines of a call and its request: both are told in whole
        /// milliseconds, and a call is read late where the node's share of a core is used up.
        std::chrono::milliseconds earliest { -3 };
        std::chrono::milliseconds latest { 20 };
        /// Part of the time left until the deadline after which a call counts as late, in percent, if its request is
        /// late already.
        uint32_t lateSharePercent = 25;
    };

    explicit RunningRequests(Settings settings)
        : m_settings(settings)
    {
    }

    void add(uint64_t id, SteadyTime targetAt, SteadyTime deadline) { m_running[id] = { targetAt, deadline }; }
    void remove(uint64_t id) { m_running.erase(id); }

    /// @param deadline Deadline of a request that began on this VM.
    /// @return When that request is late for the one that it is a call of; empty if it is no call.
    std::optional<SteadyTime> targetOfCall(SteadyTime deadline, SteadyTime now) const;

private:
    struct Request {
        SteadyTime targetAt;
        SteadyTime deadline;
    };

    Settings m_settings;
    std::unordered_map<uint64_t, Request> m_running;
};

}

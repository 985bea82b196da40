#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"

#include <map>
#include <vector>

namespace snipeweir {

/// Timers of suspected members. Owned by the control thread.
class SuspicionTimers {
public:
    /// Starts the timer of a member unless it is already running.
    void start(const VmId& vm, SteadyTime now, std::chrono::milliseconds timeout)
    {
        m_entries.try_emplace(vm, Entry { now, now + timeout });
    }

    void cancel(const VmId& vm) { m_entries.erase(vm); }

    /// Extends the timers so that none expires before the given time.
    void postpone(SteadyTime until)
    {
        for (auto& [vm, entry] : m_entries)
            entry.deadline = std::max(entry.deadline, until);
    }

    struct Expired {
        VmId vm;
        SteadyTime startedAt;
    };

    /// @return Members whose timers have expired; these timers are removed.
    std::vector<Expired> takeExpired(SteadyTime now)
    {
        std::vector<Expired> expired;
        for (const auto& [vm, entry] : m_entries) {
            if (entry.deadline <= now)
                expired.push_back({ vm, entry.startedAt });
        }
        for (const Expired& each : expired)
            m_entries.erase(each.vm);
        return expired;
    }

private:
    struct Entry {
        SteadyTime startedAt;
        SteadyTime deadline;
    };

    std::map<VmId, Entry> m_entries;
};

}

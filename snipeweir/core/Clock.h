#pragma once

#include <chrono>
#include <ctime>

namespace snipeweir {

using SteadyTime = std::chrono::steady_clock::time_point;
using SystemTime = std::chrono::system_clock::time_point;

/// Source of time. Passed in wherever a decision depends on time, so that tests and replays control it.
/// Implementations are safe to call from any thread.
class Clock {
public:
    virtual ~Clock() = default;

    /// @return Time that never goes back. Deadlines and ages use it.
    virtual SteadyTime now() const = 0;

    /// @return Wall clock time, only for log lines and for ordering process starts.
    virtual SystemTime wallTime() const = 0;
};

/// Clock of the operating system.
class SystemClock final : public Clock {
public:
    SteadyTime now() const override { return std::chrono::steady_clock::now(); }
    SystemTime wallTime() const override { return std::chrono::system_clock::now(); }
};

/// Steady time that goes on while the VM is suspended, so that deadlines pass and what is known grows old meanwhile.
/// Has the members that timers expect of a clock.
struct BootTime {
    // The names are those that the standard requires of a clock.
    // NOLINTBEGIN(readability-identifier-naming)
    using time_point = SteadyTime;
    using duration = time_point::duration;
    using rep = duration::rep;
    using period = duration::period;
    // NOLINTEND(readability-identifier-naming)

    static time_point now()
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

/// Clock of the operating system that counts the time for which the VM was suspended.
class BootClock final : public Clock {
public:
    SteadyTime now() const override { return BootTime::now(); }
    SystemTime wallTime() const override { return std::chrono::system_clock::now(); }
};

/// Clock that moves only when told to. For tests, replays and performance programs with virtual time.
class ManualClock final : public Clock {
public:
    SteadyTime now() const override { return m_now; }
    SystemTime wallTime() const override
    {
        return SystemTime(std::chrono::duration_cast<SystemTime::duration>(m_now.time_since_epoch()));
    }

    /// @param step Time to move forward by.
    void advance(std::chrono::nanoseconds step) { m_now += step; }

    /// @param time New current time; not before now().
    void moveTo(SteadyTime time) { m_now = time; }

private:
    SteadyTime m_now { std::chrono::hours(1) };
};

}

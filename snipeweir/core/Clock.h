#pragma once

#include <chrono>
#include <ctime>

namespace snipeweir {

using SteadyTime = std::chrono::steady_clock::time_point;
using SystemTime = std::chrono::system_clock::time_point;

/// Source of time. Passed to all code whose behaviour depends on time, so that tests and replays control it.
/// Implementations are safe to call from any thread.
class Clock {
public:
    virtual ~Clock() = default;

    /// @return Monotonic time, for deadlines and ages.
    virtual SteadyTime now() const = 0;

    /// @return Wall clock time, only for log lines and events, and for times that other nodes check or compare.
    virtual SystemTime wallTime() const = 0;
};

/// Clock of the operating system.
class SystemClock final : public Clock {
public:
    SteadyTime now() const override { return std::chrono::steady_clock::now(); }
    SystemTime wallTime() const override { return std::chrono::system_clock::now(); }
};

/// Steady time that includes the time for which the VM was suspended, so that deadlines expire and data ages meanwhile.
/// Has the members that timers require of a clock type.
struct BootTime {
    // The standard requires these names of a clock.
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

/// Clock of the operating system that includes the time for which the VM was suspended.
class BootClock final : public Clock {
public:
    SteadyTime now() const override { return BootTime::now(); }
    SystemTime wallTime() const override { return std::chrono::system_clock::now(); }
};

/// Clock that changes only through advance() and moveTo(). For tests, replays and performance programs that use virtual
/// time. Not synchronized: no other thread may use the clock during advance() or moveTo().
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

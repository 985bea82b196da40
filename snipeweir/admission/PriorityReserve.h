#pragma once

#include "snipeweir/core/Clock.h"

#include <cstdint>
#include <map>

namespace snipeweir {

/// Keeps slots of one backend server free for urgent requests with a short target latency, which less urgent requests
/// with a longer target could wait for instead. A request keeps its slot until it ends, so the order of the queue alone
/// does not help an urgent request that arrives while all slots are held by long, less urgent ones. The number of slots
/// follows the measured load of the urgent requests; without such requests nothing is reserved. Performs no I/O; for
/// use by one thread.
class PriorityReserve {
public:
    struct Settings {
        /// Time over which the load of each priority is averaged.
        std::chrono::milliseconds window { 2000 };
        /// A less urgent request gives way only if its target latency is at least this percentage of that of the urgent
        /// ones; otherwise waiting would make it late as well.
        uint32_t minTargetPercent = 200;
        /// Maximum share of the slots that are reserved, in percent. In the test that plays a burst of uploads, half of
        /// the slots cost the less urgent requests more than the urgent ones gained.
        uint32_t maxReservedPercent = 25;
        /// Average number of slots in use below which a load is ignored.
        double minLoad = 0.05;
    };

    PriorityReserve(Settings settings, const Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
    {
    }

    /// Adds one request to the measured load of its priority.
    /// @param priority Priority of the request; 0 is the highest.
    /// @param timeToTarget Time left until its response is late; zero or less if it already is.
    /// @param serviceTime Expected service time on this server now.
    void onOffered(uint32_t priority, std::chrono::nanoseconds timeToTarget, std::chrono::nanoseconds serviceTime);

    void onStarted(uint32_t priority) { ++m_classes[priority].running; }
    void onFinished(uint32_t priority);

    /// @param priority Priority of a request that asks for a slot.
    /// @param limit Maximum number of requests that run concurrently.
    /// @return Number of free slots that the request must leave to more urgent ones.
    uint32_t reservedSlots(uint32_t priority, uint32_t limit) const;

private:
    struct PriorityClass {
        /// Average number of slots that the requests of this priority use, at the time of the last update.
        double load = 0;
        /// Moving average of the time to the target of the requests that are not late; zero before the first one.
        std::chrono::nanoseconds target { 0 };
        SteadyTime updatedAt {};
        uint32_t running = 0;
    };

    double currentLoad(const PriorityClass&) const;

    Settings m_settings;
    const Clock& m_clock;
    /// By priority.
    std::map<uint32_t, PriorityClass> m_classes;
};

}

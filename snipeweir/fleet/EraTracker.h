#pragma once

#include "snipeweir/core/Clock.h"

#include <cstdint>
#include <optional>

namespace snipeweir {

/// Knows the era of the source and when it began, which is when the source was back from a copy. Performs no I/O. Not
/// safe for concurrent use.
class EraTracker {
public:
    /// Records an era that the source or another node named. Ignores earlier eras than the known one.
    /// @param seenAt Time at which the source was in that era.
    /// @return Whether it is a later era than the known one.
    bool onEra(uint64_t era, SteadyTime seenAt);

    /// Records when the known era began, as another node says. The earliest time counts.
    /// @param era Ignored unless it is the known one.
    void onBegin(uint64_t era, SteadyTime begin);

    uint64_t era() const { return m_era; }

    /// @return Time at which the era began; empty if it is the first one of which this node has heard.
    std::optional<SteadyTime> begin() const { return m_begin; }

    /// @return Whether the era began at most a duration ago; false if its begin isn't known.
    bool isWithin(std::chrono::milliseconds duration, SteadyTime now) const
    {
        return m_begin && now - *m_begin < duration;
    }

private:
    bool m_isKnown = false;
    uint64_t m_era = 0;
    /// Time at which this node first heard of the era.
    SteadyTime m_heardAt {};
    std::optional<SteadyTime> m_begin;
};

}

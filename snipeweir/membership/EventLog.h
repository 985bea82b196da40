#pragma once

#include "snipeweir/core/Clock.h"

#include <deque>
#include <mutex>
#include <string>

namespace snipeweir {

/// A change in the node's view of the fleet.
struct Event {
    SystemTime time;
    std::string kind; ///< Snake_case name, for example "member_suspected".
    std::string subject; ///< What changed: a VM, a data centre or a document.
    std::string cause; ///< Reason, as a snake_case name or one sentence.
    std::string source; ///< VM, or part of this node, that reported the change.
    std::chrono::milliseconds age { 0 }; ///< Age of the information that the change is based on.
};

/// Bounded log of the latest events. Safe for concurrent use.
class EventLog {
public:
    /// @param capacity Maximum number of events kept, greater than zero; the oldest are dropped first.
    explicit EventLog(size_t capacity)
        : m_capacity(capacity)
    {
    }

    void add(Event);

    /// @param maxCount Maximum number of events to return.
    /// @return JSON array of the latest events, oldest first.
    std::string toJson(size_t maxCount) const;

    /// @return Number of events added since construction, including those dropped.
    uint64_t addedCount() const;

private:
    const size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<Event> m_events;
    uint64_t m_addedCount = 0;
};

}

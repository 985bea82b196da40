#pragma once

#include "snipeweir/fleet/BackendEntry.h"

#include <deque>
#include <set>

namespace snipeweir {

/// Backend servers that said in a response that they leave. The source may report this later, or not at all while it is
/// unavailable. Leaving is final for an incarnation. Holds the last maxCount incarnations. For one thread.
class LeavingBackends {
public:
    static constexpr size_t maxCount = 8192;

    /// @return Whether the incarnation was not known to leave before.
    bool add(const BackendIncarnation& incarnation)
    {
        if (!m_incarnations.insert(incarnation).second)
            return false;
        m_order.push_back(incarnation);
        if (m_order.size() > maxCount) {
            m_incarnations.erase(m_order.front());
            m_order.pop_front();
        }
        return true;
    }

    bool contains(const BackendIncarnation& incarnation) const { return m_incarnations.contains(incarnation); }

private:
    std::set<BackendIncarnation> m_incarnations;
    /// The same incarnations, in the order in which they were added.
    std::deque<BackendIncarnation> m_order;
};

}

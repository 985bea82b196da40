#include "snipeweir/relay/ResponseSequencer.h"

#include <algorithm>
#include <cassert>

namespace snipeweir {

const ResponseSequencer::Entry& ResponseSequencer::entry(Position position) const
{
    const auto found = std::find_if(
        m_entries.begin(), m_entries.end(), [&](const Entry& candidate) { return candidate.position == position; });
    assert(found != m_entries.end());
    return *found;
}

bool ResponseSequencer::mayRead() const
{
    if (m_isClosing || m_hasLast)
        return false;
    if (m_entries.empty())
        return true;
    return !m_isStopping && m_entries.size() < m_settings.maxInProgress && m_heldBytes < m_settings.maxHeldBytes;
}

bool ResponseSequencer::mayReadBody(uint64_t bytes) const
{
    return m_entries.empty()
        || (m_heldBytes <= m_settings.maxHeldBytes && bytes <= m_settings.maxHeldBytes - m_heldBytes);
}

ResponseSequencer::Position ResponseSequencer::add(size_t bytes, AfterResponse after)
{
    m_entries.push_back({ ++m_next, bytes });
    m_heldBytes += bytes;
    m_hasLast = after == AfterResponse::Close;
    return m_next;
}

bool ResponseSequencer::mayStart(Position position, RunMode mode) const
{
    if (m_isClosing)
        return false;
    if (isFirst(position))
        return true;
    if (m_isStopping || mode == RunMode::Exclusive)
        return false;
    for (const Entry& earlier : m_entries) {
        if (earlier.position == position)
            return true;
        // The mode of a request that has not started is not fixed, since its route may change.
        if (!earlier.hasStarted || earlier.mode == RunMode::Exclusive)
            return false;
    }
    return false;
}

void ResponseSequencer::onStarted(Position position, RunMode mode)
{
    Entry& started = entry(position);
    started.hasStarted = true;
    started.mode = mode;
}

bool ResponseSequencer::hasStartedBehind(Position position) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
        [&](const Entry& behind) { return behind.position > position && behind.hasStarted; });
}

size_t ResponseSequencer::room(Position position) const
{
    const size_t others = m_heldBytes - entry(position).responseBytes;
    return others < m_settings.maxHeldBytes ? m_settings.maxHeldBytes - others : 0;
}

void ResponseSequencer::hold(Position position, size_t bytes)
{
    Entry& holder = entry(position);
    m_heldBytes += bytes - holder.responseBytes;
    holder.responseBytes = bytes;
}

bool ResponseSequencer::mayWrite(Position position) const { return isFirst(position); }

ResponseSequencer::AfterResponse ResponseSequencer::onWriting(Position position, AfterResponse wanted)
{
    assert(mayWrite(position));
    if (wanted == AfterResponse::KeepOpen && (!m_isStopping || hasStartedBehind(position)))
        return AfterResponse::KeepOpen;
    m_isClosing = true;
    return AfterResponse::Close;
}

void ResponseSequencer::onEnded(Position position)
{
    const Entry& ended = entry(position);
    m_heldBytes -= ended.requestBytes + ended.responseBytes;
    std::erase_if(m_entries, [&](const Entry& candidate) { return candidate.position == position; });
}

}

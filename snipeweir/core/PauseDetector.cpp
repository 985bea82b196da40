#include "snipeweir/core/PauseDetector.h"

namespace snipeweir {

namespace {

    int64_t nanoseconds(SteadyTime time)
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
    }

    int64_t nanoseconds(std::chrono::milliseconds time) { return std::chrono::nanoseconds(time).count(); }

    bool isValid(const PauseDetectorSettings& settings)
    {
        return settings.pauseBound.count() > 0 && settings.pauseSettle.count() >= 0;
    }

}

Result<std::unique_ptr<PauseDetector>> PauseDetector::create(PauseDetectorSettings settings, const Clock& clock)
{
    if (!isValid(settings))
        return fail(ErrorCode::InvalidArgument, "Pause settings are out of range.");
    return std::unique_ptr<PauseDetector>(new PauseDetector(settings, clock));
}

PauseDetector::PauseDetector(PauseDetectorSettings settings, const Clock& clock)
    : m_clock(clock)
    , m_boundNs(nanoseconds(settings.pauseBound))
    , m_settleNs(nanoseconds(settings.pauseSettle))
    , m_lastReadingNs(nanoseconds(clock.now()))
{
}

void PauseDetector::setSettings(PauseDetectorSettings settings)
{
    if (!isValid(settings))
        return;
    detectPause();
    m_boundNs = nanoseconds(settings.pauseBound);
    m_settleNs = nanoseconds(settings.pauseSettle);
}

uint64_t PauseDetector::pauseCount()
{
    detectPause();
    return m_pauses;
}

bool PauseDetector::mayStart(SteadyTime requestStart)
{
    detectPause();
    // A request that began before the pause also began before the end of the settling time.
    return m_pauses == 0 || nanoseconds(requestStart) >= m_resumedNs + m_settleNs;
}

bool PauseDetector::hasPausedSince(SteadyTime time)
{
    detectPause();
    return m_pauses != 0 && nanoseconds(time) < m_resumedNs;
}

bool PauseDetector::isViewFresh()
{
    detectPause();
    return m_confirmedPauses == m_pauses;
}

void PauseDetector::onViewConfirmed(uint64_t pausesWhenAsked)
{
    detectPause();
    const std::lock_guard lock(m_mutex);
    if (pausesWhenAsked == m_pauses)
        m_confirmedPauses = pausesWhenAsked;
}

void PauseDetector::detectPause()
{
    // Load the last reading before the clock, so that a concurrent reading cannot make the gap negative.
    int64_t last = m_lastReadingNs;
    const int64_t now = nanoseconds(m_clock.now());
    if (now - last <= m_boundNs) {
        // A failed exchange means that another thread has stored a reading in the meantime.
        m_lastReadingNs.compare_exchange_strong(last, now);
        return;
    }

    // Store this reading last: a thread that sees no gap then also sees the counted pause.
    const std::lock_guard lock(m_mutex);
    last = m_lastReadingNs;
    const int64_t resumed = nanoseconds(m_clock.now());
    if (resumed - last <= m_boundNs)
        return;
    m_resumedNs = resumed;
    ++m_pauses;
    m_lastReadingNs = resumed;
}

}

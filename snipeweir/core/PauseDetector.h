#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Result.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>

namespace snipeweir {

/// Settings of PauseDetector.
struct PauseDetectorSettings {
    /// A gap between two clock readings that exceeds this is a pause (pause_bound_ms).
    std::chrono::milliseconds pauseBound { 250 };
    /// Time after a pause during which requests are not started (pause_settle_ms).
    std::chrono::milliseconds pauseSettle { 200 };
};

/// Detects that the process was paused. A timer thread calls checkForPause() every few milliseconds, and every query
/// reads the clock first, so that the first thread to run after a pause detects it. Safe for any thread; a lock is
/// taken only to record a pause or a confirmed view.
class PauseDetector {
public:
    /// @param settings pauseBound greater than zero, pauseSettle not negative.
    /// @param clock Source of time; must outlive the detector.
    /// @return The detector, or ErrorCode::InvalidArgument.
    static Result<std::unique_ptr<PauseDetector>> create(PauseDetectorSettings settings, const Clock& clock);

    /// Replaces the settings; invalid ones are ignored.
    void setSettings(PauseDetectorSettings settings);

    /// Reads the clock and records a pause. The timer thread calls it every few milliseconds.
    void checkForPause() { detectPause(); }

    /// @return Number of pauses so far.
    uint64_t pauseCount();

    /// @param requestStart When the first byte of the request was read.
    /// @return Whether the request began after the last pause and its settling time. Call it directly before sending
    /// the request.
    bool mayStart(SteadyTime requestStart);

    /// @param time When a kept-alive connection was last known to have no unread bytes.
    /// @return Whether the process was paused after that time, so that bytes read now may have waited in the socket
    /// buffer during the pause.
    bool hasPausedSince(SteadyTime time);

    /// @return Whether the view was confirmed after the last pause.
    bool isViewFresh();

    /// Confirms the current view, for a node that has no peer to ask.
    void onViewConfirmed() { onViewConfirmed(pauseCount()); }

    /// Records that a peer has confirmed the view.
    /// @param pausesWhenAsked Value of pauseCount() when the query was sent. The reply to a query from before a pause
    /// may have waited in a socket buffer, so it is ignored.
    void onViewConfirmed(uint64_t pausesWhenAsked);

private:
    PauseDetector(PauseDetectorSettings settings, const Clock& clock);

    void detectPause();

    const Clock& m_clock;
    std::atomic<int64_t> m_boundNs;
    std::atomic<int64_t> m_settleNs;
    std::mutex m_mutex;
    std::atomic<int64_t> m_lastReadingNs;
    std::atomic<int64_t> m_resumedNs { 0 };
    std::atomic<uint64_t> m_pauses { 0 };
    std::atomic<uint64_t> m_confirmedPauses { 0 };
};

}

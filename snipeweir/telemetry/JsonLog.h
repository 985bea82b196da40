#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"

#include <condition_variable>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace snipeweir {

/// Structured log that writes one JSON object per line to a file descriptor, normally standard output. Callers do not
/// block on output: lines go into a buffer of limited size that a background thread writes. When the rate or the buffer
/// reaches its limit, lines of low priority are dropped first; a lines_dropped event reports their number. Thread-safe.
class JsonLog {
public:
    /// Priority of a line, lowest first. Lines of lower priority are dropped earlier.
    enum class Priority {
        /// A request that ended normally. Limited to half of the rate and of the buffer.
        Normal,
        /// A request that was refused without being run. Limited to three quarters of the rate and of the buffer.
        Refusal,
        /// A request whose outcome needs an explanation, for example an unknown one.
        Abnormal,
        /// Start, stop, or a change of the process's view of the fleet or its configuration. Not subject to the
        /// rate limit.
        StateChange,
    };

    struct Settings {
        /// Size of the buffer for lines that are not yet written, in bytes.
        size_t bufferBytes = 256U << 10U;
        /// Rate limit in bytes per second. Lines of requests that ended normally use at most half of it, and
        /// refusals at most three quarters, so that the rest is left for lines of higher priority.
        size_t bytesPerSecond = 96U << 10U;
        /// Interval at which buffered lines are written. Writing in batches saves the CPU time of a wake-up per line.
        std::chrono::milliseconds writeInterval { 250 };
    };

    using Fields = std::initializer_list<std::pair<std::string_view, std::string>>;

    /// @param clock Must outlive the log.
    /// @param node Name of the node, written in every line.
    /// @param fileDescriptor File descriptor to write to, not closed by the log; with -1 lines stay in the buffer.
    JsonLog(const Clock& clock, Settings settings, std::string node, int fileDescriptor);

    /// Writes the buffered lines and stops the background thread.
    ~JsonLog();
    JsonLog(const JsonLog&) = delete;
    JsonLog& operator=(const JsonLog&) = delete;

    /// Logs an event of a request.
    void logRequest(Priority, std::string_view event, const CallId&, Fields);

    /// Logs a change of the process's state or of its view of the fleet.
    void logStateChange(std::string_view event, Fields);

    /// @return Number of lines dropped since construction.
    uint64_t dropped() const;

    /// @return Buffered lines that are not yet written. For tests.
    std::string pendingLines() const;

private:
    void append(Priority, std::string_view event, std::string_view id, Fields);
    void writeLoop();
    void writeAll(const std::string&) const;

    const Clock& m_clock;
    const Settings m_settings;
    const std::string m_node;
    const int m_fileDescriptor;

    // Guarded by m_mutex.
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::string m_buffer;
    uint64_t m_dropped = 0;
    uint64_t m_reportedDropped = 0;
    bool m_isStopping = false;
    SteadyTime m_rateWindowStart {};
    size_t m_bytesInRateWindow = 0;

    std::thread m_writerThread;
};

}

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

/// Structured log: one JSON object a line on standard output. Callers never wait: lines go into a buffer of fixed size
/// that a thread of its own writes. Under pressure lines are dropped by weight and counted, and the log says how many.
/// Safe to use from any thread.
class JsonLog {
public:
    /// How much a line matters when not all can be written.
    enum class Weight {
        /// A request that ended as expected.
        Ordinary,
        /// A request that was refused unsent.
        Refusal,
        /// A request whose end needs explaining.
        Odd,
        /// Start, stop, and all that changes what the process believes.
        Belief,
    };

    struct Settings {
        /// Bytes that may wait to be written.
        size_t bufferBytes = 256U << 10U;
        /// Bytes that may be written in a second; half of it is kept for odd ends and beliefs.
        size_t bytesPerSecond = 96U << 10U;
        /// Lines are written together at this pace, because each wake-up costs processor time.
        std::chrono::milliseconds writeInterval { 250 };
    };

    using Fields = std::initializer_list<std::pair<std::string_view, std::string>>;

    /// @param fileDescriptor Where lines go; -1 writes nothing.
    JsonLog(const Clock& clock, Settings settings, std::string node, int fileDescriptor);
    ~JsonLog();
    JsonLog(const JsonLog&) = delete;
    JsonLog& operator=(const JsonLog&) = delete;

    /// Writes a line on a request.
    void request(Weight, std::string_view event, const CallId&, Fields);

    /// Writes a line on a change of what the process believes.
    void belief(std::string_view event, Fields);

    /// @return Lines dropped since the start.
    uint64_t dropped() const;

    /// @return The lines that wait, for tests.
    std::string pending() const;

private:
    void append(Weight, std::string_view event, std::string_view id, Fields);
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
    uint64_t m_droppedReported = 0;
    bool m_isStopping = false;
    SteadyTime m_secondStart {};
    size_t m_bytesThisSecond = 0;

    std::thread m_writer;
};

}
